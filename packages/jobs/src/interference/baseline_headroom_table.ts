import type {Estimate} from './estimate_types.js';

/** Headroom of a run at the middle of its own load. */
const MEAN_HEADROOM = 2.4;
/** Variance of the headroom over the swings of its own load. */
const HEADROOM_VARIANCE = 0.6;
/** Variance that a headroom gains in a second without a measurement. */
const VARIANCE_DRIFT_PER_SECOND = 0.6;
/** Share of the way back to the usual headroom in a second. */
const MEAN_REVERSION_PER_SECOND = 0.1;
const MILLISECONDS_PER_SECOND = 1_000;

interface TimedEstimate extends Estimate {
  /** Local instant, in milliseconds. */
  readonly measuredAt: number;
}

/**
 * The headroom that the runs of each job would have without filling runs.
 *
 * Headroom is the goal divided by the tail latency: below 1 the goal is missed.
 * It follows the job's own load, which rises and falls within seconds.
 */
export class BaselineHeadroomTable {
  private readonly estimates = new Map<string, TimedEstimate>();

  /** What is known of a job now; its certainty fades. */
  estimateAt(job: string, now: number): Estimate {
    const known = this.estimates.get(job);
    if (!known) return {value: MEAN_HEADROOM, variance: HEADROOM_VARIANCE};
    const seconds =
      Math.max(0, now - known.measuredAt) / MILLISECONDS_PER_SECOND;
    const reversion = Math.min(1, MEAN_REVERSION_PER_SECOND * seconds);
    const variance = known.variance + VARIANCE_DRIFT_PER_SECOND * seconds;
    return {
      value: known.value + (MEAN_HEADROOM - known.value) * reversion,
      variance: Math.min(HEADROOM_VARIANCE, variance),
    };
  }

  set(job: string, estimate: Estimate, now: number): void {
    this.estimates.set(job, {...estimate, measuredAt: now});
  }
}
