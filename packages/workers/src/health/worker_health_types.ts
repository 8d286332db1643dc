/** Failure and ejection state of one worker. */
export interface WorkerHealth {
  /** Distinct tasks that failed on the worker since the last success. */
  readonly failedTasks: ReadonlySet<string>;
  /** Instant in milliseconds until which the worker is ejected. */
  readonly ejectionDeadline: number;
  /** Ejections in a row; each is twice as long as the one before. */
  readonly ejections: number;
  /** Instant in milliseconds until which a probe may run; 0 without a probe. */
  readonly probeDeadline: number;
}
