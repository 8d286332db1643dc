import type {Task} from './task_types.js';
import type {TaskState} from './task_state_types.js';

/** The durable record of a task. */
export interface TaskRecord {
  readonly kind: 'task';
  /** Key of the record in its shard: the id of the task. */
  readonly key: string;
  readonly task: Task;
  readonly state: TaskState;
  /** Raised with each placement; a worker starts only the current one. */
  readonly epoch: number;
  /** The worker that runs, or may run, the task. */
  readonly worker?: string | undefined;
  /** Saved progress from which the next epoch resumes. */
  readonly checkpoint?: string | undefined;
  /** What the task returned. */
  readonly answer?: string | undefined;
  /** Why the task failed or waits. */
  readonly reason?: string | undefined;
  /** Workers on which an attempt failed. */
  readonly failedWorkers: readonly string[];
  readonly evictions: number;
  /** Wall instant in milliseconds after which a settled record is dropped. */
  readonly retentionDeadline?: number | undefined;
}
