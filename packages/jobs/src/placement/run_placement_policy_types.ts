import type {WorkerView} from '../fleet/worker_view_types.js';
import type {PlacementRequest} from './placement_request_types.js';

/** Chooses the worker for a run, and the pace at which it begins. */
export interface RunPlacementPolicy {
  /** The best worker; undefined when none has room. */
  choose(
    request: PlacementRequest,
    workers: readonly WorkerView[],
  ): WorkerView | undefined;
  /** Share of its pace at which the run may begin there, 0 to 100. */
  pace(request: PlacementRequest, view: WorkerView): number;
}
