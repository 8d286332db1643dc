import type {PacePolicy} from './pace_policy_types.js';
import type {ColocatedRun} from './colocated_run_types.js';

/** Headroom that a serving run should keep beside filling runs. */
const TARGET_HEADROOM = 1.3;
/** Headroom below which an unexplained tail slows everything. */
const DANGER_HEADROOM = 1.05;
/** Known loss of headroom, at full pace, that explains a tail. */
const EXPLAINED_HARM = 0.15;
/** Share of the loss from which on a filling run is slowed for it. */
const CULPRIT_SHARE = 0.05;
const SLOWER_FACTOR = 0.25;
const FASTER_PERCENT = 40;
/** Paces below this are not worth the disturbance. */
const LEAST_PERCENT = 8;
/** Changes of a pace that are not worth a call. */
const SMALL_PERCENT = 4;
const FULL_PERCENT = 100;

type Harm = (serving: string, filling: string) => number;

/**
 * Lets the filling runs that harm a serving run work as fast as its headroom
 * bears by the learned harm, and slows all of them where that explains nothing.
 */
export class InterferencePacePolicy implements PacePolicy {
  constructor(private readonly harm: Harm) {}

  paces(runs: readonly ColocatedRun[]): ReadonlyMap<string, number> {
    const servings = runs.filter(one => one.headroom !== undefined);
    const fillings = runs.filter(one => one.isFilling);
    const paces = new Map<string, number>();
    for (const run of fillings) {
      const borne = servings.map(one => this.paceFor(run, one, fillings));
      const next = stepTo(run.pace, Math.min(FULL_PERCENT, ...borne));
      if (next !== run.pace) paces.set(run.key, next);
    }
    return paces;
  }

  /** Pace of a filling run that a serving run bears. */
  private paceFor(
    run: ColocatedRun,
    serving: ColocatedRun,
    fillings: readonly ColocatedRun[],
  ): number {
    const headroom = serving.headroom ?? Infinity;
    const full = this.lost(serving, fillings, one => one.fullShare);
    if (full < EXPLAINED_HARM) {
      const isDanger = headroom < DANGER_HEADROOM;
      return isDanger ? run.pace * SLOWER_FACTOR : FULL_PERCENT;
    }
    const own = run.fullShare * this.harm(serving.image, run.image);
    if (own < full * CULPRIT_SHARE) return FULL_PERCENT;
    const lost = this.lost(serving, fillings, one => one.share);
    const bearable = Math.max(0, headroom + lost - TARGET_HEADROOM);
    return FULL_PERCENT * Math.min(1, bearable / full);
  }

  /** Headroom that filling runs take from a serving run. */
  private lost(
    serving: ColocatedRun,
    fillings: readonly ColocatedRun[],
    shareOf: (filling: ColocatedRun) => number,
  ): number {
    return fillings.reduce(
      (sum, one) => sum + shareOf(one) * this.harm(serving.image, one.image),
      0,
    );
  }
}

/** The next pace: down at once, up by steps. */
function stepTo(pace: number, wanted: number): number {
  const next = Math.round(Math.min(wanted, pace + FASTER_PERCENT));
  if (next < LEAST_PERCENT) return 0;
  const isSmall = Math.abs(next - pace) <= SMALL_PERCENT;
  return isSmall && next < FULL_PERCENT ? pace : next;
}
