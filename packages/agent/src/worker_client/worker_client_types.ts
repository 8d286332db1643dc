import type {Resources, Task} from '@chicoryspring/contracts';
import type {WorkerEnding} from './worker_ending_types.js';
import type {WorkerTaskList} from './worker_task_list_types.js';

/** Calls of an agent to its worker. */
export interface WorkerClient {
  start(
    task: Task,
    epoch: number,
    checkpoint: string | undefined,
    leaseMilliseconds: number,
  ): Promise<void>;
  /** Renews leases; returns the tasks that are not running. */
  renew(
    tasks: readonly {
      readonly taskId: string;
      readonly leaseMilliseconds: number;
    }[],
  ): Promise<readonly string[]>;
  /**
   * Stops a task; returns its checkpoint if asked for. The worker rejects starts
   * of the task under this epoch or an earlier one from then on.
   */
  stop(
    taskId: string,
    epoch: number,
    checkpoint: boolean,
  ): Promise<string | undefined>;
  list(): Promise<WorkerTaskList>;
  /** Measured resource usage; it lags behind the actual usage. */
  usage(): Promise<Resources>;
  /** Unacknowledged endings; waits if there are none. */
  waitForEndings(signal: AbortSignal): Promise<readonly WorkerEnding[]>;
  /** Unacknowledged endings, without waiting. */
  pendingEndings(): Promise<readonly WorkerEnding[]>;
  acknowledge(taskId: string, epoch: number): Promise<void>;
}
