import type {Task} from '@chicoryspring/contracts';
import type {KeptTaskState} from './kept_task_state_types.js';

/** A task that the agent keeps running for its owner. */
export interface KeptTask {
  readonly task: Task;
  readonly epoch: number;
  readonly state: KeptTaskState;
  /** Local instant in milliseconds at which the owner's lease lapses. */
  readonly leaseDeadline: number;
}
