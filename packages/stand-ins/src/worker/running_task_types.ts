import type {Task} from '@chicoryspring/contracts';

/** A task that the worker stand-in runs. */
export interface RunningTask {
  readonly task: Task;
  readonly epoch: number;
  /** Instant at which the worker stops the task by itself. */
  readonly leaseDeadline: number;
  /** Instant up to which the progress below is counted. */
  readonly countedAt: number;
  /** Work that is left, in milliseconds at full speed. */
  readonly remainingMilliseconds: number;
}
