/** A run that serves, as interference sees it. */
export interface LatencyCriticalRun {
  /** Runs of one job bear the same load of their own. */
  readonly job: string;
  readonly image: string;
  readonly goalMilliseconds: number;
  /** Measured tail latency in milliseconds; 0 while there is none. */
  readonly tailMilliseconds: number;
}
