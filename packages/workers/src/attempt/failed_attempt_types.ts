/** A failed attempt of a task, and what speaks for another one. */
export interface FailedAttempt {
  /** Workers on which the task has failed, this attempt included. */
  readonly failedWorkers: readonly string[];
  /** Failures on different healthy workers that its class allows. */
  readonly attempts: number;
  /** Workers that are known now. */
  readonly fleetSize: number;
}
