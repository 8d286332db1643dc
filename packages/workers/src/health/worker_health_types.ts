/** What the ended tasks of one worker say of it. */
export interface WorkerHealth {
  /** Different tasks that failed there since the last success. */
  readonly failedTasks: ReadonlySet<string>;
  /** Instant in milliseconds until which the worker is ejected. */
  readonly ejectionDeadline: number;
  /** Ejections in a row; each is twice as long as the one before. */
  readonly ejections: number;
  /** Instant until which a probe may run; 0 when none does. */
  readonly probeDeadline: number;
}
