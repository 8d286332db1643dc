import type {PlacementPolicy} from '@chicoryspring/workers';
import {createSeededRandom} from '@chicoryspring/testing';
import {summarizeRuns} from '../placement/run_summary.js';
import {DecisionFleet} from './decision_fleet.js';

const FLEET_SIZES = [11, 84, 840];
const RUNS = 5;
const WARM_UP_DECISIONS = 2_000;
const MEASURED_DECISIONS = 20_000;
const MILLISECONDS_PER_SECOND = 1_000;
const SEED = 20_261_204;
const EVEN_WEIGHTS = {tailWeight: 0.5, workWeight: 0.5};
const NO_WORKERS: ReadonlySet<string> = new Set();

interface DecisionFigures {
  readonly policy: string;
  readonly workers: number;
  readonly tasks: number;
  readonly decisionsPerSecond: string;
  /** Exponent of the cost over the number of workers; 1 is linear. */
  readonly slope: string;
}

type CreatePolicy = (random: () => number) => PlacementPolicy;

/** Times decisions of each policy, with the upkeep of the index. */
export function measureDecisions(
  policies: Readonly<Record<string, CreatePolicy>>,
): readonly DecisionFigures[] {
  return Object.entries(policies).flatMap(([policy, create]) => {
    const rates = FLEET_SIZES.map(workers => runAll(create, workers));
    return FLEET_SIZES.map((workers, size) => ({
      policy,
      workers,
      tasks: new DecisionFleet(workers, createSeededRandom(SEED)).running,
      decisionsPerSecond: summarizeRuns(rates[size]!),
      slope: size === 0 ? '' : slopeOf(size, rates),
    }));
  });
}

function runAll(create: CreatePolicy, workers: number): readonly number[] {
  return Array.from({length: RUNS}, (_, run) => {
    const random = createSeededRandom(SEED + run);
    return measureOnce(create(random), new DecisionFleet(workers, random));
  });
}

function measureOnce(policy: PlacementPolicy, fleet: DecisionFleet): number {
  decide(policy, fleet, WARM_UP_DECISIONS);
  const started = performance.now();
  decide(policy, fleet, MEASURED_DECISIONS);
  const took = performance.now() - started;
  return (MEASURED_DECISIONS * MILLISECONDS_PER_SECOND) / took;
}

function decide(
  policy: PlacementPolicy,
  fleet: DecisionFleet,
  decisions: number,
): void {
  for (let now = 0; now < decisions; now += 1) {
    const task = fleet.createTask();
    const request = {
      task,
      excludedWorkers: NO_WORKERS,
      domainsOut: NO_WORKERS,
      weights: EVEN_WEIGHTS,
      now,
    };
    const worker = policy.place(request, fleet.index);
    if (!worker) throw new Error('a fleet with room refused a task');
    fleet.endOldest();
    fleet.add(worker.announcement.worker, task);
  }
}

/** Compares each size with the one before it, run by run. */
function slopeOf(size: number, rates: readonly (readonly number[])[]): string {
  const growth = Math.log(FLEET_SIZES[size]! / FLEET_SIZES[size - 1]!);
  const slopes = rates[size]!.map((rate, run) => {
    const before = rates[size - 1]![run]!;
    return Math.log(before / rate) / growth;
  });
  return summarizeRuns(slopes);
}
