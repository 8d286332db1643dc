import type {Task} from './task_types.js';
import type {TaskLosses} from './task_losses_types.js';
import type {TaskState} from './task_state_types.js';

/** The durable record of a task. */
export interface TaskRecord {
  readonly kind: 'task';
  /** Key of the record in its shard: the id of the task. */
  readonly key: string;
  readonly task: Task;
  readonly state: TaskState;
  /** Task epoch: incremented at each placement, to fence previous ones. */
  readonly epoch: number;
  /** Worker on which the task runs or may run. */
  readonly worker?: string | undefined;
  /** Checkpoint from which the next epoch resumes. */
  readonly checkpoint?: string | undefined;
  /** Result that the task returned. */
  readonly answer?: string | undefined;
  /** Reason why the task failed or waits. */
  readonly reason?: string | undefined;
  /** Workers on which an attempt failed. */
  readonly failedWorkers: readonly string[];
  /** Losses with its workers, as far as they still count. */
  readonly losses?: TaskLosses | undefined;
  readonly evictions: number;
  /** Wall time in milliseconds after which a terminal record is deleted. */
  readonly retentionDeadline?: number | undefined;
}
