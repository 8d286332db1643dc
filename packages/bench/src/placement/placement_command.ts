import {
  ColocationCost,
  ColocationPlacementPolicy,
  type PlacementPolicy,
} from '@chicoryspring/workers';
import type {BenchCommand} from '../bench/bench_command_types.js';
import type {FakeFleet} from './fake_fleet.js';
import {measurePlacement} from './placement_measurement.js';
import {PLACEMENT_POLICY_REGISTRY} from './placement_policy_registry.js';
import {PLACEMENT_SITE_TABLE} from './placement_site_table.js';

const LOADS = [0.25, 0.45];

function createColocation(
  fleet: FakeFleet,
  random: () => number,
): PlacementPolicy {
  const {learner, usage, spread} = fleet;
  const cost = new ColocationCost(learner, usage, spread);
  return new ColocationPlacementPolicy(cost, random);
}

async function run(): Promise<void> {
  const baselines = Object.entries(PLACEMENT_POLICY_REGISTRY).map(
    ([name, create]) => [
      name,
      (_: FakeFleet, random: () => number) => create(random),
    ],
  );
  const policies = {
    ...Object.fromEntries(baselines),
    colocation: createColocation,
  };
  for (const load of LOADS) {
    console.log(`batch work asked for over capacity: ${load}`);
    console.table(measurePlacement(policies, PLACEMENT_SITE_TABLE, load));
  }
}

/** Compares placement policies under colocation, waves and a load shift. */
export const placementCommand: BenchCommand = {
  name: 'placement',
  description: 'Tail of checks and batch work of each placement policy',
  run,
};
