import type {IsolationLength, Task} from '@chicoryspring/contracts';
import type {ManagedTaskState} from './managed_task_state_types.js';

/** A task that the agent runs on the worker for the owner of the task. */
export interface ManagedTask {
  readonly task: Task;
  readonly epoch: number;
  readonly state: ManagedTaskState;
  /** Local instant in milliseconds at which the owner's lease expires. */
  readonly leaseDeadline: number;
  /** Isolation from other tasks that begin; undefined without one. */
  readonly isolation?: IsolationLength | undefined;
  /** Local instant in milliseconds; undefined before the task runs. */
  readonly probationDeadline?: number | undefined;
  /** Whether the worker still ran the task after its probation. */
  readonly hasPassedProbation: boolean;
  /** Whether a stop was sent whose answer was lost. */
  readonly isStopSent?: boolean;
  /** Incarnation of the worker before the start was sent, if it is known. */
  readonly incarnation?: string | undefined;
}
