import {ResourcesArithmetic, type Resources} from '@chicoryspring/contracts';
import type {WorkerEnds} from '../fleet/worker_ends_types.js';
import type {WorkerView} from '../fleet/worker_view_types.js';
import {RunFit} from '../placement/run_fit.js';
import type {RunPlacementRequest} from '../placement/run_placement_request_types.js';

/** Time for which the gaps of a group of workers are kept. */
const GAPS_MILLISECONDS = 1_000;
/** Workers that are looked at, evenly spread over the group. */
const MAX_SAMPLES = 64;
/**
 * Part of the workers whose gap may be smaller in each of three resources, so
 * that all three suffice on half of the workers at least.
 */
const SMALLER_SHARE = 1 / 6;

interface Gaps {
  readonly madeAt: number;
  readonly resources: Resources;
}

/**
 * What the next run's end leaves free on most workers of a service and label.
 * A task within it needs no search for a reservation.
 */
export class RunGapTable {
  private readonly gaps = new Map<string, Gaps>();

  constructor(private readonly ends: WorkerEnds) {}

  /** Whether the next run's end may make no room for the task on most workers. */
  isExceeded(
    {task, service, now}: RunPlacementRequest,
    views: ReadonlyMap<string, WorkerView>,
  ): boolean {
    const {requiredLabel = ''} = task.step;
    const key = `${service}/${requiredLabel}`;
    let gaps = this.gaps.get(key);
    if (!gaps || now - gaps.madeAt >= GAPS_MILLISECONDS) {
      const resources = this.gapsOf(service, requiredLabel, views, now);
      gaps = {madeAt: now, resources};
      this.gaps.set(key, gaps);
    }
    const needed = RunFit.commitmentOf(task.step);
    const {resources} = gaps;
    return !ResourcesArithmetic.fits(needed, resources);
  }

  private gapsOf(
    service: string,
    label: string,
    views: ReadonlyMap<string, WorkerView>,
    now: number,
  ): Resources {
    const group = [...views.values()].filter(
      ({worker}) =>
        worker.service === service && (!label || worker.labels.includes(label)),
    );
    const stride = Math.ceil(group.length / MAX_SAMPLES);
    const gaps: Resources[] = [];
    for (const [index, view] of group.entries()) {
      if (index % stride !== 0) continue;
      const {free} = view;
      const next = this.ends.endsOn(view, now)[0];
      const freed = next?.isKnown && next.instant < Infinity;
      gaps.push(freed ? ResourcesArithmetic.add(free, next.resources) : free);
    }
    return {
      processors: smallGap(gaps.map(one => one.processors)),
      memoryMebibytes: smallGap(gaps.map(one => one.memoryMebibytes)),
      accelerators: smallGap(gaps.map(one => one.accelerators)),
    };
  }
}

function smallGap(gaps: readonly number[]): number {
  const sorted = gaps.toSorted((left, right) => left - right);
  return sorted[Math.floor(sorted.length * SMALLER_SHARE)] ?? 0;
}
