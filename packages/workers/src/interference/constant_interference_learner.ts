import type {InterferenceEstimate} from './interference_estimate_types.js';
import type {InterferenceLearner} from './interference_learner_types.js';
import {INTERFERENCE_PRIOR} from './interference_prior.js';

/** Baseline: every pair is as harmful as an unknown one. */
export class ConstantInterferenceLearner implements InterferenceLearner {
  observe(): void {
    // Measurements change nothing.
  }

  estimate(): InterferenceEstimate {
    return INTERFERENCE_PRIOR;
  }
}
