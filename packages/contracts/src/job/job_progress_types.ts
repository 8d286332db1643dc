/** What is durable of the tasks of a job, by `OCCURRENCE.STEP.INDEX`. */
export interface JobProgress {
  readonly done: readonly string[];
  /** Numbers of the failed runs of the tasks that have any. */
  readonly failedRuns: Readonly<Record<string, readonly number[]>>;
  /** Newest checkpoints of the tasks that have one. */
  readonly checkpoints: Readonly<Record<string, string>>;
}
