/** What is known of the harm that one task does to a class beside it. */
export interface InterferenceEstimate {
  /** Slowdown that each task adds; 0 does no harm. */
  readonly interference: number;
  /** Standard deviation of the harm; high while little is known. */
  readonly deviation: number;
}
