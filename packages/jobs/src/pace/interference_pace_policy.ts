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

type InterferenceLookup = (
  latencyCriticalImage: string,
  bestEffortImage: string,
) => number;

/**
 * Limits the best-effort runs that interfere with a latency-critical run so
 * that it keeps its target headroom, by the learned interference.
 *
 * Where the learned interference doesn't explain a missed goal, it slows all
 * best-effort runs of the worker.
 */
export class InterferencePacePolicy implements PacePolicy {
  constructor(private readonly interferenceOf: InterferenceLookup) {}

  paces(runs: readonly ColocatedRun[]): ReadonlyMap<string, number> {
    const latencyCriticalRuns = runs.filter(one => one.headroom !== undefined);
    const bestEffortRuns = runs.filter(one => one.isFilling);
    const paces = new Map<string, number>();
    for (const run of bestEffortRuns) {
      const allowedPaces = latencyCriticalRuns.map(one =>
        this.maxPaceBeside(run, one, bestEffortRuns),
      );
      const next = nextPace(run.pace, Math.min(FULL_PERCENT, ...allowedPaces));
      if (next !== run.pace) paces.set(run.key, next);
    }
    return paces;
  }

  /**
   * Highest pace of a best-effort run that a latency-critical run allows.
   *
   * Without best-effort runs, the latter would have its measured headroom plus
   * what they cost now. At the returned pace, they cost what exceeds the target.
   */
  private maxPaceBeside(
    run: ColocatedRun,
    latencyCriticalRun: ColocatedRun,
    bestEffortRuns: readonly ColocatedRun[],
  ): number {
    const headroom = latencyCriticalRun.headroom ?? Infinity;
    const fullInterference = this.interferenceFrom(
      latencyCriticalRun,
      bestEffortRuns,
      one => one.fullShare,
    );
    if (fullInterference < MIN_EXPLAINING_INTERFERENCE) {
      const isCritical = headroom < CRITICAL_HEADROOM;
      return isCritical ? run.pace * SLOWDOWN_FACTOR : FULL_PERCENT;
    }
    const ownInterference =
      run.fullShare * this.interferenceOf(latencyCriticalRun.image, run.image);
    if (ownInterference < fullInterference * MIN_CONTRIBUTION_SHARE)
      return FULL_PERCENT;
    const interference = this.interferenceFrom(
      latencyCriticalRun,
      bestEffortRuns,
      one => one.share,
    );
    const spareHeadroom = Math.max(
      0,
      headroom + interference - TARGET_HEADROOM,
    );
    return FULL_PERCENT * Math.min(1, spareHeadroom / fullInterference);
  }

  /** Headroom that a latency-critical run loses to best-effort runs. */
  private interferenceFrom(
    latencyCriticalRun: ColocatedRun,
    bestEffortRuns: readonly ColocatedRun[],
    shareOf: (run: ColocatedRun) => number,
  ): number {
    return bestEffortRuns.reduce(
      (sum, one) =>
        sum +
        shareOf(one) * this.interferenceOf(latencyCriticalRun.image, one.image),
      0,
    );
  }
}

/** Decreases at once, but increases by limited steps. */
function nextPace(pace: number, target: number): number {
  const next = Math.round(Math.min(target, pace + MAX_INCREASE_PERCENT));
  if (next < MIN_PERCENT) return 0;
  const isSmall = Math.abs(next - pace) <= MIN_CHANGE_PERCENT;
  return isSmall && next < FULL_PERCENT ? pace : next;
}
