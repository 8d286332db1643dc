import {ResourcesArithmetic} from '@chicoryspring/contracts';
import type {Worker} from '../worker/worker_types.js';
import type {WorkerCandidates} from '../worker_index/worker_candidates_types.js';
import type {PlacementRequest} from './placement_request_types.js';

/** Checks whether a task may start on a worker. */
export class PlacementFit {
  /** Whether the worker is not excluded and the task fits its free capacity. */
  static isFitting(request: PlacementRequest, worker: Worker): boolean {
    if (request.excludedWorkers.has(worker.announcement.worker)) return false;
    return ResourcesArithmetic.fits(request.task.resources, worker.load.free);
  }

  /** The same check for a worker that need not be an index candidate. */
  static mayStart(request: PlacementRequest, worker: Worker): boolean {
    const {failureDomain, draining} = worker.announcement;
    if (!worker.isLinked || draining) return false;
    if (request.domainsOut.has(failureDomain)) return false;
    return PlacementFit.isFitting(request, worker);
  }

  /** The first fitting candidate in circular order from a position. */
  static firstFrom(
    request: PlacementRequest,
    candidates: WorkerCandidates,
    start: number,
  ): Worker | undefined {
    const {count} = candidates;
    for (let step = 0; step < count; step += 1) {
      const worker = candidates.at((start + step) % count);
      if (PlacementFit.isFitting(request, worker)) return worker;
    }
    return undefined;
  }
}
