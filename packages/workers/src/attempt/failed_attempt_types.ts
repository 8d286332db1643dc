/** A failed attempt of a task, and what decides whether it is retried. */
export interface FailedAttempt {
  /**
   * Workers that were healthy when the task failed on them, this attempt
   * included.
   */
  readonly failedWorkers: readonly string[];
  /**
   * Limit set by the task class: the task is quarantined once it has failed on
   * so many different healthy workers.
   */
  readonly attempts: number;
  /** Number of workers currently known. */
  readonly fleetSize: number;
}
