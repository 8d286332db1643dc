import type {Worker} from '../worker/worker_types.js';
import type {WorkerIndex} from '../worker_index/worker_index_types.js';
import {PlacementFit} from './placement_fit.js';
import type {PlacementPolicy} from './placement_policy_types.js';
import type {PlacementRequest} from './placement_request_types.js';

/** Baseline: a random fitting worker. */
export class RandomPlacementPolicy implements PlacementPolicy {
  /** @param random returns numbers from 0 up to, but not including, 1 */
  constructor(private readonly random: () => number) {}

  place(request: PlacementRequest, index: WorkerIndex): Worker | undefined {
    const {task, domainsOut} = request;
    const candidates = index.candidates(task.resources, domainsOut);
    const start = Math.floor(this.random() * candidates.count);
    return PlacementFit.firstFrom(request, candidates, start);
  }
}
