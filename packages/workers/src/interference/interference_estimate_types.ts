/** Estimated interference of one task with a class on the same worker. */
export interface InterferenceEstimate {
  /** Slowdown that each task adds; 0 without interference. */
  readonly interference: number;
  /** Standard deviation of the estimate; high with few measurements. */
  readonly deviation: number;
}
