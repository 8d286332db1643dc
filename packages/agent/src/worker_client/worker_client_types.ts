import type {Resources, Task} from '@chicoryspring/contracts';
import type {WorkerEnding} from './worker_ending_types.js';
import type {WorkerTask} from './worker_task_types.js';

/** The worker, as its agent commands it. */
export interface WorkerClient {
  start(
    task: Task,
    epoch: number,
    checkpoint: string | undefined,
    leaseMilliseconds: number,
  ): Promise<void>;
  /** Renews leases; returns the tasks that do not run. */
  renew(
    tasks: readonly {
      readonly taskId: string;
      readonly leaseMilliseconds: number;
    }[],
  ): Promise<readonly string[]>;
  /** Stops a task; returns its saved progress when asked for. */
  stop(taskId: string, checkpoint: boolean): Promise<string | undefined>;
  list(): Promise<readonly WorkerTask[]>;
  /** Measured use; lags behind. */
  usage(): Promise<Resources>;
  /** Endings that are not acknowledged yet; waits when there are none. */
  endings(signal: AbortSignal): Promise<readonly WorkerEnding[]>;
  /** Endings that are not acknowledged yet, at once. */
  pendingEndings(): Promise<readonly WorkerEnding[]>;
  acknowledge(taskId: string, epoch: number): Promise<void>;
}
