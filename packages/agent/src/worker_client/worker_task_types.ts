import type {Task} from '@chicoryspring/contracts';

/** A task that a worker runs. */
export interface WorkerTask {
  readonly task: Task;
  readonly epoch: number;
  /** Time left of the worker's lease on it. */
  readonly leaseMilliseconds: number;
}
