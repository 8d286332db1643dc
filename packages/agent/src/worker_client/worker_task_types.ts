import type {Task} from '@chicoryspring/contracts';

/** A task that a worker runs. */
export interface WorkerTask {
  readonly task: Task;
  readonly epoch: number;
  /** Remaining time of the lease that the worker has on the task. */
  readonly leaseMilliseconds: number;
}
