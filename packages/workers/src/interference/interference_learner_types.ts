import type {InterferenceEstimator} from './interference_estimator_types.js';
import type {InterferenceObservation} from './interference_observation_types.js';

/** Learns how much a task of one class slows another class on its worker. */
export interface InterferenceLearner extends InterferenceEstimator {
  /** Applies a measurement; measurements may arrive late and out of order. */
  observe(observation: InterferenceObservation): void;
}
