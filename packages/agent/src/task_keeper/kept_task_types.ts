import type {Task} from '@chicoryspring/contracts';

/** A task that the agent keeps running for its owner. */
export interface KeptTask {
  readonly task: Task;
  readonly epoch: number;
  /** Local instant in milliseconds at which the owner's lease lapses. */
  readonly leaseDeadline: number;
}
