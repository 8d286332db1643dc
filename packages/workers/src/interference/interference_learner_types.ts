import type {InterferenceEstimator} from './interference_estimator_types.js';
import type {InterferenceObservation} from './interference_observation_types.js';

/** Learns how much a task of one class slows a class beside it. */
export interface InterferenceLearner extends InterferenceEstimator {
  /** Takes in a measurement; they may arrive late and out of order. */
  observe(observation: InterferenceObservation): void;
}
