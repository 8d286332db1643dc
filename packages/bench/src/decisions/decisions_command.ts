import {
  ClassUsageTracker,
  ColocationCost,
  ColocationPlacementPolicy,
  DecayingInterferenceLearner,
  TaskSpread,
  serviceClassOf,
  type PlacementPolicy,
} from '@chicoryspring/workers';
import type {BenchCommand} from '../bench/bench_command_types.js';
import {PLACEMENT_POLICY_REGISTRY} from '../placement/placement_policy_registry.js';
import {DecisionFleet} from './decision_fleet.js';
import {measureDecisions} from './decision_measurement.js';

const POLICIES = {
  ...PLACEMENT_POLICY_REGISTRY,
  colocation: createColocation,
};

function createColocation(random: () => number): PlacementPolicy {
  const cost = new ColocationCost(
    learnAllPairs(),
    new ClassUsageTracker(),
    new TaskSpread(),
  );
  return new ColocationPlacementPolicy(cost, random);
}

/** A learner that knows every pair, as it does once the fleet has run. */
function learnAllPairs(): DecayingInterferenceLearner {
  const learner = new DecayingInterferenceLearner();
  const {classes, service} = DecisionFleet;
  const others = classes.map(taskClass => ({taskClass, tasks: 1}));
  for (const affected of [...classes, serviceClassOf(service)]) {
    learner.observe({affected, others, slowdown: 2, measuredAt: 0});
  }
  return learner;
}

/** Times placement decisions at three sizes of the fleet. */
export const decisionsCommand: BenchCommand = {
  name: 'decisions',
  description: 'Times placement decisions at 11, 84 and 840 workers',
  run: async () => console.table(measureDecisions(POLICIES)),
};
