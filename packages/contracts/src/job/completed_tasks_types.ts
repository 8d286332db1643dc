/** What is complete of a job, once one of its occurrences has ended. */
export interface CompletedTasks {
  /** Each occurrence with a lower number has ended, but for `open`. */
  readonly endedBefore: number;
  /** Occurrences with a lower number that have not ended. */
  readonly open: readonly number[];
  /** Complete tasks of occurrences that have not ended. */
  readonly tasks: readonly string[];
}
