import type {OwnedRun} from '../run/owned_run_types.js';

const FULL_PACE = 100;

/** Time for which one run has worked, at full pace. */
export class RunActivity {
  private constructor(
    readonly run: number,
    /** Whether the run was seen from its start and did all of its task. */
    readonly isWhole: boolean,
    readonly firstPercent: number,
    private readonly since: number,
    private readonly pace: number,
    private readonly earlierMilliseconds: number,
  ) {}

  /** The activity of a run that is ordered now and begins its task. */
  static ordered({run, orderedAt, pace}: OwnedRun): RunActivity {
    return new RunActivity(run, true, 0, orderedAt, pace, 0);
  }

  /** The activity of a run that was found on its worker. */
  static found({run, percent, pace}: OwnedRun, now: number): RunActivity {
    return new RunActivity(run, false, percent, now, pace, 0);
  }

  /** The activity of a run that is listed as not begun yet. */
  notBegun(now: number): RunActivity {
    const {run, isWhole, firstPercent, pace} = this;
    return new RunActivity(run, isWhole, firstPercent, now, pace, 0);
  }

  /** The activity once the run has another pace. */
  withPace(pace: number, now: number): RunActivity {
    if (pace === this.pace) return this;
    const {run, isWhole, firstPercent} = this;
    const earlier = this.activeMilliseconds(now);
    return new RunActivity(run, isWhole, firstPercent, now, pace, earlier);
  }

  /** Time until now for which it worked: half of it at a pace of 50. */
  activeMilliseconds(now: number): number {
    const elapsed = Math.max(0, now - this.since);
    return this.earlierMilliseconds + (elapsed * this.pace) / FULL_PACE;
  }
}
