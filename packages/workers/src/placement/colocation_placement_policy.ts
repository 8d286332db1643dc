import type {Worker} from '../worker/worker_types.js';
import type {WorkerCandidates} from '../worker_index/worker_candidates_types.js';
import type {WorkerIndex} from '../worker_index/worker_index_types.js';
import type {ColocationCost} from './colocation_cost.js';
import {PlacementFit} from './placement_fit.js';
import type {PlacementPolicy} from './placement_policy_types.js';
import type {PlacementRequest} from './placement_request_types.js';
import {ReturnedDomainRamp} from './returned_domain_ramp.js';

/** Candidates whose cost is compared in one decision. */
const SAMPLES = 8;

/**
 * Places a task where it is expected to do and to suffer the least harm.
 *
 * The cost of a few candidates that have room is compared, drawn at random over
 * all levels of free capacity, so that a decision does not grow with the fleet
 * and entries that decide at once do not choose the same worker.
 */
export class ColocationPlacementPolicy implements PlacementPolicy {
  private readonly returned = new ReturnedDomainRamp();

  /** @param random gives numbers from 0 up to, but not including, 1 */
  constructor(
    private readonly cost: ColocationCost,
    private readonly random: () => number,
  ) {}

  place(request: PlacementRequest, index: WorkerIndex): Worker | undefined {
    const {domainsOut, now} = request;
    this.returned.note(domainsOut, now);
    const held = this.returned.held(this.random, now);
    const hidden = new Set([...domainsOut, ...held]);
    const chosen = this.choose(request, index, hidden);
    if (chosen || held.length === 0) return chosen;
    return this.choose(request, index, domainsOut);
  }

  private choose(
    request: PlacementRequest,
    index: WorkerIndex,
    domainsOut: ReadonlySet<string>,
  ): Worker | undefined {
    const {resources} = request.task;
    const candidates = index.candidates(resources, domainsOut);
    const sample = this.sample(request, candidates);
    let best: Worker | undefined;
    let lowest = Infinity;
    for (const worker of sample) {
      const cost = this.cost.of(request, worker);
      if (cost >= lowest) continue;
      best = worker;
      lowest = cost;
    }
    return best;
  }

  /** Fitting candidates at even distances from a random start. */
  private sample(
    request: PlacementRequest,
    candidates: WorkerCandidates,
  ): readonly Worker[] {
    const {count} = candidates;
    const start = Math.floor(this.random() * count);
    const stride = Math.max(1, Math.floor(count / SAMPLES));
    const found: Worker[] = [];
    for (let offset = 0; offset < stride; offset += 1) {
      for (let step = offset; step < count; step += stride) {
        const worker = candidates.at((start + step) % count);
        if (PlacementFit.isFitting(request, worker)) found.push(worker);
      }
      if (found.length > 0) return found;
    }
    return found;
  }
}
