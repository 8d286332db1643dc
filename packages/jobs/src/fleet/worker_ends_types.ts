import type {ExpectedEnd} from './expected_end_types.js';
import type {WorkerView} from './worker_view_types.js';

/** Expected ends of the runs of workers. */
export interface WorkerEnds {
  /** The ends on a worker, the earliest first. */
  endsOn(view: WorkerView, now: number): readonly ExpectedEnd[];
}
