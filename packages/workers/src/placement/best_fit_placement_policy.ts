import type {Worker} from '../worker/worker_types.js';
import type {WorkerIndex} from '../worker_index/worker_index_types.js';
import {PlacementFit} from './placement_fit.js';
import type {PlacementPolicy} from './placement_policy_types.js';
import type {PlacementRequest} from './placement_request_types.js';

/** Baseline: a fitting worker with the fewest whole unreserved processors. */
export class BestFitPlacementPolicy implements PlacementPolicy {
  place(request: PlacementRequest, index: WorkerIndex): Worker | undefined {
    const {task, domainsOut} = request;
    const candidates = index.candidates(task.resources, domainsOut);
    return PlacementFit.firstFrom(request, candidates, 0);
  }
}
