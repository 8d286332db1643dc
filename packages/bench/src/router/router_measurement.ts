import {
  ROUTING_POLICY_REGISTRY,
  type RoutingPolicyName,
} from '@chicoryspring/targets';
import type {LoadFigures} from '../load/load_figures_types.js';
import type {ResultTable} from '../results/result_table_types.js';
import {summarizeSeeds} from '../results/seed_summary.js';
import {runRouter} from './router_run.js';
import type {RouterScenario} from './router_scenario_types.js';

const SCENARIOS: readonly RouterScenario[] = [
  {name: 'steady', shiftMilliseconds: Infinity},
  {name: 'waves', shiftMilliseconds: 3_000},
];
const POLICIES = Object.keys(
  ROUTING_POLICY_REGISTRY,
) as readonly RoutingPolicyName[];

/** Every routing policy on fake targets, each with the same seeds. */
export function measureRouter(seeds: readonly number[]): ResultTable {
  const cells = SCENARIOS.flatMap(scenario =>
    POLICIES.map(policy => ({
      scenario: scenario.name,
      policy,
      runs: seeds.map(seed => runRouter(policy, scenario, seed)),
    })),
  );
  return {
    name: 'router',
    title: 'Routing policies on fake targets',
    command: `npm run bench -- router --seeds ${seeds.length}`,
    seeds,
    remarks: [
      'Virtual time: the load of the machine does not change the figures.',
      'Milliseconds: median (least to most) over the seeds.',
    ],
    columns: ['scenario', 'policy', 'p50', 'p99', 'p99.9'],
    rows: cells.map(({scenario, policy, runs}) => [
      scenario,
      policy,
      describe(runs, run => run.p50Milliseconds),
      describe(runs, run => run.p99Milliseconds),
      describe(runs, run => run.p999Milliseconds),
    ]),
    chart: {
      measure: 'p99 of checks, ms',
      bars: cells.map(({scenario, policy, runs}) => ({
        group: scenario,
        bar: policy,
        value: summarizeSeeds(runs.map(run => run.p99Milliseconds)).median,
      })),
    },
  };
}

function describe(
  runs: readonly LoadFigures[],
  figure: (run: LoadFigures) => number,
): string {
  const {median, least, most} = summarizeSeeds(runs.map(figure));
  const [middle, low, high] = [median, least, most].map(one => one.toFixed(1));
  return `${middle} (${low} to ${high})`;
}
