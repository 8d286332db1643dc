import {TaskName} from '@chicoryspring/contracts';
import type {WorkerView} from '../fleet/worker_view_types.js';
import type {LatencyCriticalRun} from '../interference/latency_critical_run_types.js';
import type {InterferenceModel} from '../interference/interference_model.js';
import {RunFit} from './run_fit.js';
import type {RunPlacementPolicy} from './run_placement_policy_types.js';
import type {PlacementRequest} from './placement_request_types.js';

/** Share of its commitment that a lasting run is expected to use. */
const LASTING_USE = 0.5;
/** Least share of its processors that a filling run should find idle. */
const LEAST_FILLING_SHARE = 0.6;
/** Processors that a worker with the data of the step is worth. */
const DATA_RACK_WORTH = 1_000;
/** Headroom that serving runs should keep beside a new filling run. */
const LEAST_HEADROOM = 1.2;
/** Loss of headroom for which no filling run is slowed. */
const SLIGHT_HARM = 0.1;
/** Pace below which a filling run is not let in, of a full one. */
const LEAST_PACE = 30;
const FULL_PACE = 100;
/** Processors that a lost headroom of 1 beside a filling run costs. */
const HARM_COST = 8;
/** Processors that a serving run of the same image there is worth. */
const ALIKE_WORTH = 6;
/** Processors that a worker with lasting runs is worth to runs that serve. */
const PACKED_WORTH = 100;

/**
 * Packs lasting runs on few workers, so that filling runs find workers where
 * they disturb nobody.
 *
 * Where they must share a worker, the learned harm of the pair of images
 * decides. Other runs go where lasting runs leave processors uncommitted.
 */
export class PackingRunPlacementPolicy implements RunPlacementPolicy {
  constructor(private readonly interference: InterferenceModel) {}

  choose(
    request: PlacementRequest,
    workers: readonly WorkerView[],
  ): WorkerView | undefined {
    let best: WorkerView | undefined;
    let bestWorth = -Infinity;
    for (const view of workers) {
      if (!RunFit.isEligible(request, view)) continue;
      if (!RunFit.hasCapacity(request, view)) continue;
      const worth = this.worthOf(request, view);
      if (worth === undefined || worth <= bestWorth) continue;
      best = view;
      bestWorth = worth;
    }
    return best;
  }

  /** Undefined when a filling run should not go there. */
  private worthOf(
    request: PlacementRequest,
    view: WorkerView,
  ): number | undefined {
    const {step, name} = request.task;
    const isNear =
      step.dataRack !== undefined && view.worker.labels.includes(step.dataRack);
    const bonus = isNear ? DATA_RACK_WORTH : 0;
    if (step.isFilling) return addTo(this.fillingWorth(request, view), bonus);
    const isPacked = view.longRunningProcessors > 0 ? PACKED_WORTH : 0;
    if (!step.isLasting) return view.free.processors + isPacked + bonus;
    const beside = view.runsByStep.get(TaskName.stepPrefix(name)) ?? 0;
    const harm = this.harmTo(request, view);
    const alike = likeness(step.image, view) * ALIKE_WORTH;
    return isPacked - view.free.processors + bonus + alike - harm - beside;
  }

  private fillingWorth(
    request: PlacementRequest,
    view: WorkerView,
  ): number | undefined {
    const {step} = request.task;
    const {processors} = step.resources;
    const idle = idleProcessors(view);
    const pace = this.pace(request, view);
    const isIdle = idle >= processors * LEAST_FILLING_SHARE;
    const isBorne = pace >= LEAST_PACE;
    if (!request.isStarved && !(isIdle && isBorne)) return undefined;
    const harm = view.latencyCriticalRuns.reduce(
      (sum, one) => sum + this.harmOf(request, view, one),
      0,
    );
    return (idle * pace) / FULL_PACE - harm * HARM_COST;
  }

  /** As much as every serving run there bears below its goal. */
  pace(request: PlacementRequest, view: WorkerView): number {
    if (!request.task.step.isFilling) return FULL_PACE;
    let pace = FULL_PACE;
    for (const serving of view.latencyCriticalRuns) {
      const harm = this.harmOf(request, view, serving);
      const {bestEffortRuns} = view;
      const room = this.interference.expectedHeadroom(
        serving,
        bestEffortRuns,
        request.now,
      );
      const bearable = Math.max(0, room - LEAST_HEADROOM);
      const isBorne = harm <= Math.max(SLIGHT_HARM, bearable);
      if (!isBorne) pace = Math.min(pace, (FULL_PACE * bearable) / harm);
    }
    return Math.floor(pace);
  }

  /** Headroom that the run at full pace would take from one that serves. */
  private harmOf(
    request: PlacementRequest,
    view: WorkerView,
    serving: LatencyCriticalRun,
  ): number {
    const {image = '', resources} = request.task.step;
    const share = resources.processors / view.worker.capacity.processors;
    return share * this.interference.harm(serving.image, image);
  }

  /** Headroom that the filling runs there would take from a run that serves. */
  private harmTo(request: PlacementRequest, view: WorkerView): number {
    const {image = '', goalMilliseconds} = request.task.step;
    if (goalMilliseconds === undefined) return 0;
    const harm = view.bestEffortRuns.reduce(
      (sum, one) =>
        sum + one.fullShare * this.interference.harm(image, one.image),
      0,
    );
    return harm * HARM_COST;
  }
}

/** Serving runs of the same image there, less those of others. */
function likeness(image: string | undefined, view: WorkerView): number {
  const alike = view.latencyCriticalRuns.filter(
    one => one.image === image,
  ).length;
  return 2 * alike - view.latencyCriticalRuns.length;
}

function addTo(worth: number | undefined, bonus: number): number | undefined {
  return worth === undefined ? undefined : worth + bonus;
}

function idleProcessors(view: WorkerView): number {
  const unused = view.longRunningProcessors * (1 - LASTING_USE);
  const used = view.bestEffortRuns.reduce(
    (sum, one) => sum + one.processors,
    0,
  );
  return view.free.processors + unused - used;
}
