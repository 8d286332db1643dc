import type {PacePolicy} from './pace_policy_types.js';
import type {PaceRun} from './pace_run_types.js';

/** Share of its goal from which a serving run is in danger. */
const DANGER_SHARE = 0.95;
/** Share of its goal below which filling runs may work faster. */
const SAFE_SHARE = 0.75;
const SLOWER_FACTOR = 0.5;
const FASTER_PERCENT = 20;
/** Paces below this are not worth the disturbance. */
const LEAST_PERCENT = 10;
const FULL_PERCENT = 100;

/** Halves the pace of all filling runs in danger, and raises it by steps. */
export class StepPacePolicy implements PacePolicy {
  paces(runs: readonly PaceRun[]): ReadonlyMap<string, number> {
    const worst = Math.max(0, ...runs.map(shareOfGoal));
    const paces = new Map<string, number>();
    for (const run of runs) {
      if (!run.isFilling) continue;
      const next = nextPercent(run.percent, worst);
      if (next !== run.percent) paces.set(run.key, next);
    }
    return paces;
  }
}

function shareOfGoal(run: PaceRun): number {
  const {goalMilliseconds, tailMilliseconds, isFilling} = run;
  if (isFilling || !goalMilliseconds) return 0;
  return tailMilliseconds / goalMilliseconds;
}

function nextPercent(percent: number, worst: number): number {
  if (worst >= DANGER_SHARE) {
    const slower = Math.floor(percent * SLOWER_FACTOR);
    return slower < LEAST_PERCENT ? 0 : slower;
  }
  if (worst > SAFE_SHARE) return percent;
  return Math.min(FULL_PERCENT, percent + FASTER_PERCENT);
}
