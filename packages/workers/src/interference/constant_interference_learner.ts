import type {InterferenceEstimate} from './interference_estimate_types.js';
import type {InterferenceLearner} from './interference_learner_types.js';
import {INTERFERENCE_PRIOR} from './interference_prior.js';

/** Baseline: always returns the prior. */
export class ConstantInterferenceLearner implements InterferenceLearner {
  observe(): void {
    // The estimate is constant.
  }

  estimate(): InterferenceEstimate {
    return INTERFERENCE_PRIOR;
  }
}
