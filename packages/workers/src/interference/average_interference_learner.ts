import type {InterferenceEstimate} from './interference_estimate_types.js';
import type {InterferenceLearner} from './interference_learner_types.js';
import type {InterferenceObservation} from './interference_observation_types.js';
import {INTERFERENCE_PRIOR} from './interference_prior.js';
import {PairTable} from './pair_table.js';

interface Average {
  readonly interference: number;
  readonly measurements: number;
}

/** Baseline: arithmetic mean; each slowdown is split evenly among all tasks. */
export class AverageInterferenceLearner implements InterferenceLearner {
  private readonly pairs = new PairTable<Average>();

  observe({affected, others, slowdown}: InterferenceObservation): void {
    const tasks = others.reduce((sum, one) => sum + one.tasks, 0);
    if (tasks === 0) return;
    const share = (slowdown - 1) / tasks;
    for (const {taskClass} of others) {
      const known = this.pairs.get(affected, taskClass);
      const {interference, measurements} = known ?? {
        interference: 0,
        measurements: 0,
      };
      const count = measurements + 1;
      const average = interference + (share - interference) / count;
      this.pairs.set(affected, taskClass, {
        interference: average,
        measurements: count,
      });
    }
  }

  estimate(affected: string, other: string): InterferenceEstimate {
    const known = this.pairs.get(affected, other);
    if (!known) return INTERFERENCE_PRIOR;
    const deviation =
      INTERFERENCE_PRIOR.deviation / Math.sqrt(1 + known.measurements);
    return {interference: known.interference, deviation};
  }
}
