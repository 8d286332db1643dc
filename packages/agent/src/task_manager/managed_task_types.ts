import type {Task} from '@chicoryspring/contracts';
import type {ManagedTaskState} from './managed_task_state_types.js';

/** A task that the agent runs on the worker for the owner of the task. */
export interface ManagedTask {
  readonly task: Task;
  readonly epoch: number;
  readonly state: ManagedTaskState;
  /** Local instant in milliseconds at which the owner's lease expires. */
  readonly leaseDeadline: number;
}
