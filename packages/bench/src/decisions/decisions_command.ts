import type {BenchCommand} from '../bench/bench_command_types.js';
import {PLACEMENT_POLICY_REGISTRY} from '../placement/placement_policy_registry.js';
import {measureDecisions} from './decision_measurement.js';

/** Times placement decisions at three sizes of the fleet. */
export const decisionsCommand: BenchCommand = {
  name: 'decisions',
  description: 'Times placement decisions at 11, 84 and 840 workers',
  run: async () => console.table(measureDecisions(PLACEMENT_POLICY_REGISTRY)),
};
