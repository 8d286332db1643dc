import type {Estimate} from './estimate_types.js';

/** Headroom in the middle of the load range, to which estimates revert. */
const MEAN_HEADROOM = 2.4;
/** Variance of the headroom over the load range; no estimate exceeds it. */
const HEADROOM_VARIANCE = 0.6;
/** Variance that an estimate gains in each second without a measurement. */
const VARIANCE_DRIFT_PER_SECOND = 0.6;
/** Share of the distance to the mean that an estimate reverts in a second. */
const MEAN_REVERSION_PER_SECOND = 0.1;
const MILLISECONDS_PER_SECOND = 1_000;

interface TimedEstimate extends Estimate {
  /** Local instant, in milliseconds. */
  readonly measuredAt: number;
}

/**
 * Estimated headroom of each job's runs without best-effort runs beside them.
 *
 * Headroom is the goal divided by the tail latency: below 1 the goal is missed.
 * It depends on the job's own load, which rises and falls within seconds.
 */
export class BaselineHeadroomTable {
  private readonly estimates = new Map<string, TimedEstimate>();

  /** Reverts to the mean and gains variance since the last measurement. */
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
