import type {Worker} from '../worker/worker_types.js';
import type {WorkerIndex} from '../worker_index/worker_index_types.js';
import type {PlacementRequest} from './placement_request_types.js';

/** Chooses the worker of a task. */
export interface PlacementPolicy {
  /** A worker on which the task may start, or undefined when none can. */
  place(request: PlacementRequest, index: WorkerIndex): Worker | undefined;
}
