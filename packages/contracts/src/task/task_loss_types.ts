import type {IsolationLength} from './isolation_length_types.js';

/** How a worker lost a task, which it neither runs nor reports an ending of. */
export interface TaskLoss {
  /** Whether the task had not passed its probation. */
  readonly isInProbation: boolean;
  /** Isolation in which the task was started; undefined without one. */
  readonly isolation?: IsolationLength | undefined;
}
