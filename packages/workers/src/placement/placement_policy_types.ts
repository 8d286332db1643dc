import type {Worker} from '../worker/worker_types.js';
import type {WorkerIndex} from '../worker_index/worker_index_types.js';
import type {PlacementRequest} from './placement_request_types.js';

/** Chooses the worker on which a task starts. */
export interface PlacementPolicy {
  /** Returns a worker on which the task may start; undefined without one. */
  place(request: PlacementRequest, index: WorkerIndex): Worker | undefined;
}
