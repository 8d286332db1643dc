import {TaskName} from '@chicoryspring/contracts';
import type {WorkerView} from '../fleet/worker_view_types.js';
import type {LatencyCriticalRun} from '../interference/latency_critical_run_types.js';
import type {InterferenceModel} from '../interference/interference_model.js';
import {RunFit} from './run_fit.js';
import type {RunPlacementPolicy} from './run_placement_policy_types.js';
import type {RunPlacementRequest} from './run_placement_request_types.js';

/** Expected share of its reserved processors that a long-running task uses. */
const LONG_RUNNING_USE = 0.5;
/** Share of its processors that a best-effort run must find idle. */
const MIN_IDLE_SHARE = 0.6;
/** Score in processors of a worker in the rack that has the step's data. */
const DATA_RACK_SCORE = 1_000;
/** Headroom that latency-critical runs keep beside a new best-effort run. */
const MIN_HEADROOM = 1.2;
/** Loss of headroom for which no best-effort run is slowed. */
const TOLERATED_INTERFERENCE = 0.1;
/** Pace in percent below which a best-effort run is not placed. */
const MIN_PACE = 30;
const FULL_PACE = 100;
/** Score in processors that each unit of lost headroom costs. */
const INTERFERENCE_COST = 8;
/** Score in processors of each latency-critical run with the same image. */
const SAME_IMAGE_SCORE = 6;
/** Score of a worker with long-running tasks for all but best-effort runs. */
const PACKED_SCORE = 100;

/**
 * Packs long-running tasks on few workers, so that best-effort runs find
 * workers without latency-critical runs.
 *
 * Where both must share a worker, the learned interference of their images
 * decides. Other runs go to workers of long-running tasks, to the one with the
 * most free processors.
 */
export class PackingRunPlacementPolicy implements RunPlacementPolicy {
  constructor(private readonly model: InterferenceModel) {}

  choose(
    request: RunPlacementRequest,
    workers: readonly WorkerView[],
  ): WorkerView | undefined {
    let best: WorkerView | undefined;
    let bestScore = -Infinity;
    for (const view of workers) {
      if (!RunFit.isEligible(request, view)) continue;
      if (!RunFit.hasCapacity(request, view)) continue;
      const score = this.scoreOf(request, view);
      if (score === undefined || score <= bestScore) continue;
      best = view;
      bestScore = score;
    }
    return best;
  }

  rejectionOf(request: RunPlacementRequest, view: WorkerView): string {
    const exclusion = RunFit.exclusionOf(request, view);
    if (exclusion !== undefined) return exclusion;
    if (!RunFit.hasCapacity(request, view)) return 'no room';
    const {isFilling} = request.task.step;
    return isFilling ? 'interference' : 'room for a part of the gang';
  }

  /**
   * Score in processors; undefined when a best-effort run must not be placed
   * there.
   *
   * Other things equal, a long-running task goes to the worker with the fewest
   * free processors, and any other run to the one with the most.
   */
  private scoreOf(
    request: RunPlacementRequest,
    view: WorkerView,
  ): number | undefined {
    const {step, name} = request.task;
    const isInDataRack =
      step.dataRack !== undefined && view.worker.labels.includes(step.dataRack);
    const bonus = isInDataRack ? DATA_RACK_SCORE : 0;
    if (step.isFilling)
      return addBonus(this.bestEffortScore(request, view), bonus);
    const packedScore = view.longRunningProcessors > 0 ? PACKED_SCORE : 0;
    if (!step.isLasting) return view.free.processors + packedScore + bonus;
    const runsOfStep = view.runsByStep.get(TaskName.stepPrefix(name)) ?? 0;
    const interference = this.interferenceCost(request, view);
    const sameImage = sameImageSurplus(step.image, view) * SAME_IMAGE_SCORE;
    return (
      packedScore -
      view.free.processors +
      bonus +
      sameImage -
      interference -
      runsOfStep
    );
  }

  private bestEffortScore(
    request: RunPlacementRequest,
    view: WorkerView,
  ): number | undefined {
    const {step} = request.task;
    const {processors} = step.resources;
    const idle = idleProcessors(view);
    const pace = this.pace(request, view);
    const hasIdleProcessors = idle >= processors * MIN_IDLE_SHARE;
    const isTolerated = pace >= MIN_PACE;
    if (!request.isStarved && !(hasIdleProcessors && isTolerated))
      return undefined;
    const interference = view.latencyCriticalRuns.reduce(
      (sum, one) => sum + this.interferenceOn(request, view, one),
      0,
    );
    return (idle * pace) / FULL_PACE - interference * INTERFERENCE_COST;
  }

  /** Highest pace that leaves latency-critical runs the minimum headroom. */
  pace(request: RunPlacementRequest, view: WorkerView): number {
    if (!request.task.step.isFilling) return FULL_PACE;
    let pace = FULL_PACE;
    for (const latencyCriticalRun of view.latencyCriticalRuns) {
      const interference = this.interferenceOn(
        request,
        view,
        latencyCriticalRun,
      );
      const {bestEffortRuns} = view;
      const expectedHeadroom = this.model.expectedHeadroom(
        latencyCriticalRun,
        bestEffortRuns,
        request.now,
      );
      const spareHeadroom = Math.max(0, expectedHeadroom - MIN_HEADROOM);
      const isTolerated =
        interference <= Math.max(TOLERATED_INTERFERENCE, spareHeadroom);
      if (!isTolerated)
        pace = Math.min(pace, (FULL_PACE * spareHeadroom) / interference);
    }
    return Math.floor(pace);
  }

  /** Headroom that the run at full pace costs a latency-critical run. */
  private interferenceOn(
    request: RunPlacementRequest,
    view: WorkerView,
    latencyCriticalRun: LatencyCriticalRun,
  ): number {
    const {image = '', resources} = request.task.step;
    const share = resources.processors / view.worker.capacity.processors;
    return share * this.model.interferenceOf(latencyCriticalRun.image, image);
  }

  /** Score deducted for the headroom lost to the best-effort runs there. */
  private interferenceCost(
    request: RunPlacementRequest,
    view: WorkerView,
  ): number {
    const {image = '', goalMilliseconds} = request.task.step;
    if (goalMilliseconds === undefined) return 0;
    const interference = view.bestEffortRuns.reduce(
      (sum, one) =>
        sum + one.fullShare * this.model.interferenceOf(image, one.image),
      0,
    );
    return interference * INTERFERENCE_COST;
  }
}

/** Latency-critical runs of the image there, less those of other images. */
function sameImageSurplus(image: string | undefined, view: WorkerView): number {
  const sameImage = view.latencyCriticalRuns.filter(
    one => one.image === image,
  ).length;
  return 2 * sameImage - view.latencyCriticalRuns.length;
}

function addBonus(
  score: number | undefined,
  bonus: number,
): number | undefined {
  return score === undefined ? undefined : score + bonus;
}

function idleProcessors(view: WorkerView): number {
  const unused = view.longRunningProcessors * (1 - LONG_RUNNING_USE);
  const used = view.bestEffortRuns.reduce(
    (sum, one) => sum + one.processors,
    0,
  );
  return view.free.processors + unused - used;
}
