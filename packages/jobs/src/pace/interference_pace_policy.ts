import {HeadroomBudget} from '../headroom/headroom_budget.js';
import type {InterferenceLookup} from '../headroom/interference_lookup_types.js';
import type {SpareHeadroom} from '../headroom/spare_headroom_types.js';
import {PacePrecedence} from './pace_precedence.js';
import type {PacePolicy} from './pace_policy_types.js';
import type {ColocatedRun} from './colocated_run_types.js';

/** Headroom that latency-critical runs should keep beside best-effort runs. */
const TARGET_HEADROOM = 1.3;
/** Headroom below which an unexplained tail slows all best-effort runs. */
const CRITICAL_HEADROOM = 1.05;
/** Learned loss of headroom, at full pace, from which on it explains a tail. */
const MIN_EXPLAINING_INTERFERENCE = 0.15;
/** Share of that loss from which on a best-effort run is slowed for it. */
const MIN_CONTRIBUTION_SHARE = 0.05;
/** Factor of every pace while an unexplained tail is too long. */
const SLOWDOWN_FACTOR = 0.25;
/** Increase of a pace in one step. */
const MAX_INCREASE_PERCENT = 40;
/** Paces below this stop the run: its work is not worth the interference. */
const MIN_PERCENT = 8;
/** Changes up to this are skipped to save a call. */
const MIN_CHANGE_PERCENT = 4;
const FULL_PERCENT = 100;

/**
 * Grants the headroom that latency-critical runs can spare, above their target,
 * to the best-effort runs that cost them some, in the order of progress.
 *
 * Each gets the highest pace that the rest of the budget allows. So a few work
 * at full pace and end while the others are stopped, instead of all being slow.
 * Where the learned interference doesn't explain a missed goal, it slows all
 * best-effort runs of the worker.
 */
export class InterferencePacePolicy implements PacePolicy {
  constructor(private readonly interferenceOf: InterferenceLookup) {}

  paces(runs: readonly ColocatedRun[]): ReadonlyMap<string, number> {
    const latencyCriticalRuns = runs.filter(one => one.headroom !== undefined);
    const bestEffortRuns = runs.filter(one => one.isFilling);
    const isUnexplained = latencyCriticalRuns.some(
      one => isOverGoal(one) && !this.isExplainedBy(bestEffortRuns, one),
    );
    let budget = this.budgetOf(latencyCriticalRuns, bestEffortRuns);
    const paces = new Map<string, number>();
    for (const run of PacePrecedence.sort(bestEffortRuns)) {
      const limit = isUnexplained ? run.pace * SLOWDOWN_FACTOR : FULL_PERCENT;
      const granted = grantOf(Math.min(limit, budget.paceOf(run)));
      budget = budget.granting(run, granted);
      const next = nextPace(run.pace, granted);
      if (next !== run.pace) paces.set(run.key, next);
    }
    return paces;
  }

  /** Budget of the latency-critical runs whose tails are explained. */
  private budgetOf(
    latencyCriticalRuns: readonly ColocatedRun[],
    bestEffortRuns: readonly ColocatedRun[],
  ): HeadroomBudget {
    const spares = latencyCriticalRuns
      .filter(one => this.isExplainedBy(bestEffortRuns, one))
      .map(one => this.spareOf(one, bestEffortRuns));
    return new HeadroomBudget(spares, this.interferenceOf);
  }

  /**
   * What a latency-critical run can spare beside best-effort runs.
   *
   * Without them, it would have its measured headroom plus what they cost now.
   * It can spare what of that exceeds the target.
   */
  private spareOf(
    latencyCriticalRun: ColocatedRun,
    bestEffortRuns: readonly ColocatedRun[],
  ): SpareHeadroom {
    const {image, headroom = Infinity} = latencyCriticalRun;
    const cost = this.costOn(image, bestEffortRuns, one => one.share);
    const fullCost = this.costOn(image, bestEffortRuns, one => one.fullShare);
    return {
      image,
      headroom: Math.max(0, headroom + cost - TARGET_HEADROOM),
      toleratedCost: fullCost * MIN_CONTRIBUTION_SHARE,
    };
  }

  /** Whether the learned interference could make the tail of the run long. */
  private isExplainedBy(
    bestEffortRuns: readonly ColocatedRun[],
    {image}: ColocatedRun,
  ): boolean {
    const fullCost = this.costOn(image, bestEffortRuns, one => one.fullShare);
    return fullCost >= MIN_EXPLAINING_INTERFERENCE;
  }

  /** Headroom that best-effort runs cost a latency-critical run. */
  private costOn(
    latencyCriticalImage: string,
    bestEffortRuns: readonly ColocatedRun[],
    shareOf: (run: ColocatedRun) => number,
  ): number {
    return bestEffortRuns.reduce(
      (sum, one) =>
        sum +
        shareOf(one) * this.interferenceOf(latencyCriticalImage, one.image),
      0,
    );
  }
}

function isOverGoal({headroom = Infinity}: ColocatedRun): boolean {
  return headroom < CRITICAL_HEADROOM;
}

/** The allowed pace; 0 where it is too low to be worth the interference. */
function grantOf(allowed: number): number {
  return allowed < MIN_PERCENT ? 0 : allowed;
}

/** Decreases at once, but increases by limited steps. */
function nextPace(pace: number, target: number): number {
  const next = Math.round(Math.min(target, pace + MAX_INCREASE_PERCENT));
  if (next < MIN_PERCENT) return 0;
  const isSmall = Math.abs(next - pace) <= MIN_CHANGE_PERCENT;
  return isSmall && next < FULL_PERCENT ? pace : next;
}
