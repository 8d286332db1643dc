import type {InterferenceEstimate} from './interference_estimate_types.js';

/** Estimates the interference between two classes. */
export interface InterferenceEstimator {
  /** Estimated interference of one task of `other` with `affected`. */
  estimate(affected: string, other: string, now: number): InterferenceEstimate;
}
