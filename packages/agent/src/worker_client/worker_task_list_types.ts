import type {WorkerTask} from './worker_task_types.js';

/** The tasks that a worker runs, as it lists them. */
export interface WorkerTaskList {
  readonly tasks: readonly WorkerTask[];
  /**
   * A text that differs each time that the worker has started anew. Without it
   * nobody can tell a start that was lost on its way from one that crashed.
   */
  readonly incarnation?: string | undefined;
}
