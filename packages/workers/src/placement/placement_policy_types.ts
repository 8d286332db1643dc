import type {Task} from '@chicoryspring/contracts';
import type {Worker} from '../worker/worker_types.js';

/** Chooses the worker of a task. */
export interface PlacementPolicy {
  /** A worker on which the task may start, or undefined when none can. */
  place(
    task: Task,
    workers: readonly Worker[],
    excluded: readonly string[],
  ): Worker | undefined;
}
