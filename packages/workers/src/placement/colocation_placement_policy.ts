import type {Worker} from '../worker/worker_types.js';
import type {WorkerCandidates} from '../worker_index/worker_candidates_types.js';
import type {WorkerIndex} from '../worker_index/worker_index_types.js';
import type {ColocationCost} from './colocation_cost.js';
import {PlacementFit} from './placement_fit.js';
import type {PlacementPolicy} from './placement_policy_types.js';
import type {PlacementRequest} from './placement_request_types.js';
import {ReturnedDomainRamp} from './returned_domain_ramp.js';

/** Number of candidates compared per placement, approximately. */
const SAMPLE_SIZE = 8;

/**
 * Places a task where the least interference in both directions is expected.
 *
 * Compares the cost of a few fitting candidates, sampled at random over all
 * levels of free capacity. So the cost of a decision does not grow with the
 * fleet, and entries that decide at the same time do not choose the same
 * worker.
 */
export class ColocationPlacementPolicy implements PlacementPolicy {
  private readonly returnedDomains = new ReturnedDomainRamp();

  /** @param random returns numbers from 0 up to, but not including, 1 */
  constructor(
    private readonly cost: ColocationCost,
    private readonly random: () => number,
  ) {}

  place(request: PlacementRequest, index: WorkerIndex): Worker | undefined {
    const {domainsOut, now} = request;
    this.returnedDomains.recordOutOfService(domainsOut, now);
    const skipped = this.returnedDomains.drawSkipped(this.random, now);
    const domainsOutOrSkipped = new Set([...domainsOut, ...skipped]);
    const chosen = this.choose(request, index, domainsOutOrSkipped);
    if (chosen || skipped.length === 0) return chosen;
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
    let lowestCost = Infinity;
    for (const worker of sample) {
      const cost = this.cost.of(request, worker);
      if (cost >= lowestCost) continue;
      best = worker;
      lowestCost = cost;
    }
    return best;
  }

  /** Samples fitting candidates at even distances from a random start. */
  private sample(
    request: PlacementRequest,
    candidates: WorkerCandidates,
  ): readonly Worker[] {
    const {count} = candidates;
    const start = Math.floor(this.random() * count);
    const stride = Math.max(1, Math.floor(count / SAMPLE_SIZE));
    const fitting: Worker[] = [];
    for (let offset = 0; offset < stride; offset += 1) {
      for (let step = offset; step < count; step += stride) {
        const worker = candidates.at((start + step) % count);
        if (PlacementFit.isFitting(request, worker)) fitting.push(worker);
      }
      if (fitting.length > 0) return fitting;
    }
    return fitting;
  }
}
