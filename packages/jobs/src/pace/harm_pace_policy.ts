import type {PacePolicy} from './pace_policy_types.js';
import type {PaceRun} from './pace_run_types.js';

/** Share of its goal below which a serving run's tail should stay. */
const TARGET_SHARE = 0.8;
/** Share of its goal from which an unexplained tail slows everything. */
const DANGER_SHARE = 0.95;
/** Share of its goal below which filling runs may work faster. */
const SAFE_SHARE = 0.7;
/** Known harm that explains a tail. */
const EXPLAINED_HARM = 0.1;
const SLOWER_FACTOR = 0.25;
const FASTER_PERCENT = 25;
/** Paces below this are not worth the disturbance. */
const LEAST_PERCENT = 8;
const FULL_PERCENT = 100;

type Harm = (serving: string, filling: string) => number;

/**
 * Slows the filling runs that harm a serving run near its goal, as far as the
 * learned harm says is needed, and all of them where it explains nothing.
 */
export class HarmPacePolicy implements PacePolicy {
  constructor(private readonly harm: Harm) {}

  paces(runs: readonly PaceRun[]): ReadonlyMap<string, number> {
    const servings = runs.filter(isServing);
    const paces = new Map<string, number>();
    for (const run of runs) {
      if (!run.isFilling) continue;
      const others = runs.filter(one => one.isFilling);
      const next = this.nextPace(run, servings, others);
      if (next !== run.pace) paces.set(run.key, next);
    }
    return paces;
  }

  private nextPace(
    run: PaceRun,
    servings: readonly PaceRun[],
    fillings: readonly PaceRun[],
  ): number {
    const factors = servings.map(one => this.factorFor(run, one, fillings));
    const factor = Math.min(1, ...factors);
    if (factor < 1) {
      const slower = Math.floor(run.pace * factor);
      return slower < LEAST_PERCENT ? 0 : slower;
    }
    const isSafe = servings.every(one => this.mayRaise(run, one));
    if (!isSafe) return run.pace;
    return Math.min(FULL_PERCENT, run.pace + FASTER_PERCENT);
  }

  /** Factor on the pace of a filling run for the sake of a serving run. */
  private factorFor(
    run: PaceRun,
    serving: PaceRun,
    fillings: readonly PaceRun[],
  ): number {
    const share = shareOfGoal(serving);
    if (share <= TARGET_SHARE) return 1;
    const total = fillings.reduce(
      (sum, one) => sum + this.harmOf(one, serving),
      0,
    );
    if (total < EXPLAINED_HARM) return share > DANGER_SHARE ? SLOWER_FACTOR : 1;
    if (this.harmOf(run, serving) < EXPLAINED_HARM / fillings.length) return 1;
    const excess = Math.log(share / TARGET_SHARE);
    return 1 - Math.min(1, excess / total);
  }

  private mayRaise(run: PaceRun, serving: PaceRun): boolean {
    const step = (run.processors * FASTER_PERCENT) / FULL_PERCENT;
    const added = step * this.harm(serving.image, run.image);
    return shareOfGoal(serving) * Math.exp(added) < SAFE_SHARE;
  }

  private harmOf(filling: PaceRun, serving: PaceRun): number {
    const {measure} = filling;
    return measure * this.harm(serving.image, filling.image);
  }
}

function isServing(run: PaceRun): boolean {
  return !run.isFilling && (run.goalMilliseconds ?? 0) > 0;
}

function shareOfGoal(run: PaceRun): number {
  return run.measure / (run.goalMilliseconds ?? Infinity);
}
