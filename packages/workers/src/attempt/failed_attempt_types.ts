/** A failed attempt of a task, and what decides whether it is retried. */
export interface FailedAttempt {
  /** Workers on which the task has failed, this attempt included. */
  readonly failedWorkers: readonly string[];
  /** Number of different healthy workers on which the class lets it fail. */
  readonly attempts: number;
  /** Number of workers currently known. */
  readonly fleetSize: number;
}
