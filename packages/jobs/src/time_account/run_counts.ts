import type {OwnedRun} from '../run/owned_run_types.js';

const FULL_PACE_PERCENT = 100;

/** Counts of the runs of a job by what they do. */
export class RunCounts {
  private all = 0;
  private starting = 0;
  private working = 0;
  private repeating = 0;
  /** Sum of the paces of the working runs, in percent. */
  private paceSum = 0;

  get isEmpty(): boolean {
    return this.all === 0;
  }

  get hasStarting(): boolean {
    return this.starting > 0;
  }

  get hasRepeating(): boolean {
    return this.repeating > 0;
  }

  /** Part of their speed that the working runs lack on average, 0 to 1. */
  get slowedShare(): number {
    if (this.working === 0) return 0;
    return 1 - this.paceSum / this.working / FULL_PACE_PERCENT;
  }

  add(run: OwnedRun, isRepeating: boolean): void {
    this.count(run, isRepeating, 1);
  }

  /** Takes back a run, which has to be given as it was added. */
  remove(run: OwnedRun, isRepeating: boolean): void {
    this.count(run, isRepeating, -1);
  }

  private count(run: OwnedRun, isRepeating: boolean, amount: 1 | -1): void {
    const {phase, pace} = run;
    this.all += amount;
    const isStarting = phase === 'starting' && isOrderInProgress(run);
    if (isStarting) this.starting += amount;
    if (isStarting || phase === 'stopping') return;
    this.working += amount;
    this.paceSum += amount * Math.min(FULL_PACE_PERCENT, Math.max(0, pace));
    if (isRepeating) this.repeating += amount;
  }
}

/**
 * Whether the agent has not answered the start order, or holds it back. A run
 * begins right after the answer, but the report of that may come 500 ms later.
 */
function isOrderInProgress({sinceVersion, isListedAsStarting}: OwnedRun) {
  return sinceVersion === undefined || isListedAsStarting === true;
}
