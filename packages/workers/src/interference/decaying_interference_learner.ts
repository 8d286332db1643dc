import type {ClassCount} from '../worker/class_count_types.js';
import type {InterferenceEstimate} from './interference_estimate_types.js';
import type {InterferenceLearner} from './interference_learner_types.js';
import type {InterferenceObservation} from './interference_observation_types.js';
import {INTERFERENCE_PRIOR} from './interference_prior.js';
import {PairTable} from './pair_table.js';

/** Relative standard deviation of one measurement. */
const MEASUREMENT_NOISE = 0.15;
/** Time in which a pair's estimate loses about two thirds of its confidence. */
const CONFIDENCE_DECAY_MILLISECONDS = 600_000;
/** Squared innovation, in expected variances, that indicates a load shift. */
const SHIFT_THRESHOLD = 6;
/** Factor on the variance of the pairs affected by a load shift. */
const SHIFT_VARIANCE_FACTOR = 2;
const PRIOR_VARIANCE = INTERFERENCE_PRIOR.deviation ** 2;

interface PairEstimate {
  readonly interference: number;
  readonly variance: number;
  /** Instant of the latest applied measurement, in milliseconds. */
  readonly measuredAt: number;
}

/** Tasks of one class that add to a measured slowdown. */
interface Contribution {
  readonly taskClass: string;
  readonly tasks: number;
  readonly estimate: PairEstimate;
}

/**
 * Estimates the interference of each ordered pair with its variance.
 *
 * A measurement is the sum of the interference of all tasks beside the affected
 * one. The innovation is split among the pairs by their variances: a Kalman
 * filter with a diagonal covariance. The variances grow with time, and an
 * innovation beyond noise and uncertainty inflates those of the pairs involved,
 * so that the estimates follow a load shift.
 */
export class DecayingInterferenceLearner implements InterferenceLearner {
  private readonly pairs = new PairTable<PairEstimate>();

  observe(observation: InterferenceObservation): void {
    const {affected, others, slowdown, measuredAt} = observation;
    const prior = others.map(one =>
      this.contributionOf(affected, one, measuredAt),
    );
    const expected = prior.reduce((sum, one) => sum + interferenceOf(one), 0);
    const innovation = slowdown - 1 - expected;
    const noise = (MEASUREMENT_NOISE * slowdown) ** 2;
    const contributions = inflateVariances(prior, innovation, noise);
    const totalVariance = noise + varianceOf(contributions);
    for (const {taskClass, tasks, estimate} of contributions) {
      const gain = (estimate.variance * tasks) / totalVariance;
      this.pairs.set(affected, taskClass, {
        interference: Math.max(0, estimate.interference + gain * innovation),
        variance: estimate.variance * (1 - gain * tasks),
        measuredAt: Math.max(measuredAt, estimate.measuredAt),
      });
    }
  }

  estimate(affected: string, other: string, now: number): InterferenceEstimate {
    const {interference, variance} = this.estimateAt(affected, other, now);
    return {interference, deviation: Math.sqrt(variance)};
  }

  private contributionOf(
    affected: string,
    count: ClassCount,
    now: number,
  ): Contribution {
    const {taskClass, tasks} = count;
    return {
      taskClass,
      tasks,
      estimate: this.estimateAt(affected, taskClass, now),
    };
  }

  private estimateAt(
    affected: string,
    other: string,
    now: number,
  ): PairEstimate {
    const known = this.pairs.get(affected, other);
    if (!known) {
      const {interference} = INTERFERENCE_PRIOR;
      return {interference, variance: PRIOR_VARIANCE, measuredAt: now};
    }
    const age = Math.max(0, now - known.measuredAt);
    const retained = Math.exp(-age / CONFIDENCE_DECAY_MILLISECONDS);
    const variance =
      PRIOR_VARIANCE + (known.variance - PRIOR_VARIANCE) * retained;
    return {...known, variance};
  }
}

function interferenceOf({tasks, estimate}: Contribution): number {
  return tasks * estimate.interference;
}

/** Variance of a measurement that results from the contributions. */
function varianceOf(contributions: readonly Contribution[]): number {
  return contributions.reduce(
    (sum, {tasks, estimate}) => sum + tasks ** 2 * estimate.variance,
    0,
  );
}

/** Inflates the variances if the innovation exceeds noise and uncertainty. */
function inflateVariances(
  contributions: readonly Contribution[],
  innovation: number,
  noise: number,
): readonly Contribution[] {
  const expected = noise + varianceOf(contributions);
  if (innovation ** 2 < SHIFT_THRESHOLD * expected) return contributions;
  return contributions.map(contribution => {
    const inflated = Math.min(
      PRIOR_VARIANCE,
      contribution.estimate.variance * SHIFT_VARIANCE_FACTOR,
    );
    const variance = Math.max(contribution.estimate.variance, inflated);
    return {...contribution, estimate: {...contribution.estimate, variance}};
  });
}
