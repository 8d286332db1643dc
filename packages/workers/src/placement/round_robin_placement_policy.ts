import type {Worker} from '../worker/worker_types.js';
import type {WorkerIndex} from '../worker_index/worker_index_types.js';
import {PlacementFit} from './placement_fit.js';
import type {PlacementPolicy} from './placement_policy_types.js';
import type {PlacementRequest} from './placement_request_types.js';

/** Baseline: the fitting workers in turn, in order of announcement. */
export class RoundRobinPlacementPolicy implements PlacementPolicy {
  private position = 0;

  place(request: PlacementRequest, index: WorkerIndex): Worker | undefined {
    for (let step = 0; step < index.size; step += 1) {
      this.position = (this.position + 1) % index.size;
      const worker = index.at(this.position);
      if (PlacementFit.mayStart(request, worker)) return worker;
    }
    return undefined;
  }
}
