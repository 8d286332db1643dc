import type {InterferenceEstimate} from './interference_estimate_types.js';

/** Says what is known of the harm between two classes. */
export interface InterferenceEstimator {
  /** The harm that one task of `other` does to `affected`. */
  estimate(affected: string, other: string, now: number): InterferenceEstimate;
}
