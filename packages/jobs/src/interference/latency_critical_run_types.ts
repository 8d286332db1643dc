/** A latency-critical run as input of the interference model. */
export interface LatencyCriticalRun {
  /** The runs of a job are assumed to have the same load. */
  readonly job: string;
  readonly image: string;
  readonly goalMilliseconds: number;
  /** Measured tail latency in milliseconds; 0 while there is none. */
  readonly tailMilliseconds: number;
}
