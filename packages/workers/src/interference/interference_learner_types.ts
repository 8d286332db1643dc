import type {InterferenceEstimate} from './interference_estimate_types.js';
import type {InterferenceObservation} from './interference_observation_types.js';

/** Learns how much a task of one class slows a class beside it. */
export interface InterferenceLearner {
  /** Takes in a measurement; they may arrive late and out of order. */
  observe(observation: InterferenceObservation): void;
  /** The harm that one task of `other` does to `affected`. */
  estimate(affected: string, other: string, now: number): InterferenceEstimate;
}
