import type {WorkerView} from '../fleet/worker_view_types.js';
import type {RunPlacementRequest} from './run_placement_request_types.js';

/** Chooses the worker of a run and its initial pace. */
export interface RunPlacementPolicy {
  /** The best worker; undefined when none is suitable. */
  choose(
    request: RunPlacementRequest,
    workers: readonly WorkerView[],
  ): WorkerView | undefined;
  /** Why a worker was not chosen for a request that found none, in a few words. */
  rejectionOf(request: RunPlacementRequest, view: WorkerView): string;
  /** Initial pace of the run on that worker in percent, 0 to 100. */
  pace(request: RunPlacementRequest, view: WorkerView): number;
}
