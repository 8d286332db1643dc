/** What a placement round has left of a job. */
export interface RoundObservation {
  /** Whether a task was due and no worker had capacity for it. */
  readonly hasUnplacedTasks: boolean;
  /** When the next occurrence is due; undefined when all have their tasks. */
  readonly nextDueInstant: number | undefined;
}
