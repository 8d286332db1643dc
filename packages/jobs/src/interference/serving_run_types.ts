/** A run that serves its own users, as interference sees it. */
export interface ServingRun {
  readonly image: string;
  /** Goal for its tail latency, in milliseconds. */
  readonly goalMilliseconds: number;
  /** Its tail latency as last measured; 0 when it was not. */
  readonly tailMilliseconds: number;
}
