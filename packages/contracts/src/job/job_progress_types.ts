/** What is durable of the tasks of a job, by `OCCURRENCE.STEP.INDEX`. */
export interface JobProgress {
  readonly done: readonly string[];
  /** Failed runs of the tasks that have any. */
  readonly failures: Readonly<Record<string, number>>;
  /** Newest checkpoints of the tasks that have one. */
  readonly checkpoints: Readonly<Record<string, string>>;
}
