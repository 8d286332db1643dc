import type {Worker} from '../worker/worker_types.js';
import type {WorkerIndex} from '../worker_index/worker_index_types.js';
import {PlacementFit} from './placement_fit.js';
import type {PlacementPolicy} from './placement_policy_types.js';
import type {PlacementRequest} from './placement_request_types.js';

/** Baseline: a fitting worker with the most whole unreserved processors. */
export class LeastLoadedPlacementPolicy implements PlacementPolicy {
  place(request: PlacementRequest, index: WorkerIndex): Worker | undefined {
    const {task, domainsOut} = request;
    const candidates = index.candidates(task.resources, domainsOut);
    for (let position = candidates.count - 1; position >= 0; position -= 1) {
      const worker = candidates.at(position);
      if (PlacementFit.isFitting(request, worker)) return worker;
    }
    return undefined;
  }
}
