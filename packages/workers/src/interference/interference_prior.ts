import type {InterferenceEstimate} from './interference_estimate_types.js';

/** What is assumed of a pair of classes that was never seen together. */
export const INTERFERENCE_PRIOR: InterferenceEstimate = {
  interference: 0.1,
  deviation: 0.3,
};
