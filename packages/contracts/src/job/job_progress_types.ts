/** Durable progress of the tasks of a job, keyed by `OCCURRENCE.STEP.INDEX`. */
export interface JobProgress {
  /** Tasks that are complete. */
  readonly done: readonly string[];
  /** Numbers of the failed runs, for tasks that have any. */
  readonly failedRuns: Readonly<Record<string, readonly number[]>>;
  /** Newest checkpoint, for tasks that have one. */
  readonly checkpoints: Readonly<Record<string, string>>;
}
