import type {InterferenceEstimate} from './interference_estimate_types.js';

/** Estimate for a pair of classes without measurements. */
export const INTERFERENCE_PRIOR: InterferenceEstimate = {
  interference: 0.1,
  deviation: 0.3,
};
