import type {ClassCount} from '../worker/class_count_types.js';
import type {InterferenceEstimate} from './interference_estimate_types.js';
import type {InterferenceLearner} from './interference_learner_types.js';
import type {InterferenceObservation} from './interference_observation_types.js';
import {INTERFERENCE_PRIOR} from './interference_prior.js';
import {PairTable} from './pair_table.js';

/** Relative standard deviation of one measurement. */
const MEASUREMENT_NOISE = 0.15;
/** Time in which about two thirds of the confidence in a pair is lost. */
const CONFIDENCE_DECAY_MILLISECONDS = 600_000;
/** Squared surprise, in variances, from which a load shift is assumed. */
const SHIFT_SURPRISE = 6;
/** Factor on the variance of the pairs that a load shift concerns. */
const SHIFT_FACTOR = 2;
const PRIOR_VARIANCE = INTERFERENCE_PRIOR.deviation ** 2;

interface PairBelief {
  readonly harm: number;
  readonly variance: number;
  /** Instant of the last measurement that was taken in. */
  readonly measuredAt: number;
}

interface Part {
  readonly taskClass: string;
  readonly tasks: number;
  readonly belief: PairBelief;
}

/**
 * Learns the harm of each ordered pair with its uncertainty.
 *
 * A measurement shows the sum of the harms of all tasks beside the affected
 * one. Each pair takes the part of the surprise that its uncertainty explains
 * (a Kalman filter with a diagonal covariance). Certainty decays with time, and
 * a surprise beyond the noise widens the pairs concerned, so that estimates
 * follow when the load shifts.
 */
export class DecayingInterferenceLearner implements InterferenceLearner {
  private readonly pairs = new PairTable<PairBelief>();

  observe(observation: InterferenceObservation): void {
    const {affected, others, slowdown, measuredAt} = observation;
    const known = others.map(one => this.partOf(affected, one, measuredAt));
    const expected = known.reduce((sum, one) => sum + harmOf(one), 0);
    const surprise = slowdown - 1 - expected;
    const noise = (MEASUREMENT_NOISE * slowdown) ** 2;
    const parts = widen(known, surprise, noise);
    const total = noise + explainedBy(parts);
    for (const {taskClass, tasks, belief} of parts) {
      const gain = (belief.variance * tasks) / total;
      this.pairs.set(affected, taskClass, {
        harm: Math.max(0, belief.harm + gain * surprise),
        variance: belief.variance * (1 - gain * tasks),
        measuredAt: Math.max(measuredAt, belief.measuredAt),
      });
    }
  }

  estimate(affected: string, other: string, now: number): InterferenceEstimate {
    const {harm, variance} = this.beliefAt(affected, other, now);
    return {interference: harm, deviation: Math.sqrt(variance)};
  }

  private partOf(affected: string, count: ClassCount, now: number): Part {
    const {taskClass, tasks} = count;
    return {taskClass, tasks, belief: this.beliefAt(affected, taskClass, now)};
  }

  private beliefAt(affected: string, other: string, now: number): PairBelief {
    const known = this.pairs.get(affected, other);
    if (!known) {
      const {interference: harm} = INTERFERENCE_PRIOR;
      return {harm, variance: PRIOR_VARIANCE, measuredAt: now};
    }
    const age = Math.max(0, now - known.measuredAt);
    const kept = Math.exp(-age / CONFIDENCE_DECAY_MILLISECONDS);
    const variance = PRIOR_VARIANCE + (known.variance - PRIOR_VARIANCE) * kept;
    return {...known, variance};
  }
}

function harmOf({tasks, belief}: Part): number {
  return tasks * belief.harm;
}

/** Variance of a measurement that the parts explain. */
function explainedBy(parts: readonly Part[]): number {
  return parts.reduce(
    (sum, {tasks, belief}) => sum + tasks ** 2 * belief.variance,
    0,
  );
}

/** Raises the variances when the surprise is beyond noise and uncertainty. */
function widen(
  parts: readonly Part[],
  surprise: number,
  noise: number,
): readonly Part[] {
  const explained = noise + explainedBy(parts);
  if (surprise ** 2 < SHIFT_SURPRISE * explained) return parts;
  return parts.map(part => {
    const widened = Math.min(
      PRIOR_VARIANCE,
      part.belief.variance * SHIFT_FACTOR,
    );
    const variance = Math.max(part.belief.variance, widened);
    return {...part, belief: {...part.belief, variance}};
  });
}
