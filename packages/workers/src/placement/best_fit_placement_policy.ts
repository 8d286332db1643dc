import {ResourcesArithmetic, type Task} from '@chicoryspring/contracts';
import type {Worker} from '../worker/worker_types.js';
import type {PlacementPolicy} from './placement_policy_types.js';

/** Baseline: the worker with the least processors left, by declared size. */
export class BestFitPlacementPolicy implements PlacementPolicy {
  place(
    task: Task,
    workers: readonly Worker[],
    excluded: readonly string[],
  ): Worker | undefined {
    const fitting = workers.filter(
      worker =>
        worker.isLinked &&
        !worker.announcement.draining &&
        !excluded.includes(worker.announcement.worker) &&
        ResourcesArithmetic.fits(task.resources, worker.load.free),
    );
    return fitting.reduce<Worker | undefined>(tighter, undefined);
  }
}

function tighter(best: Worker | undefined, candidate: Worker): Worker {
  if (!best) return candidate;
  const isTighter = candidate.load.free.processors < best.load.free.processors;
  return isTighter ? candidate : best;
}
