import {build, type Histogram} from 'hdr-histogram-js';
import type {PlacementPolicy} from '@chicoryspring/workers';
import {HiddenPairTable} from '../interference/hidden_pair_table.js';
import {FakeFleet} from './fake_fleet.js';
import {FakeTaskSource} from './fake_task_source.js';
import type {PlacementSite} from './placement_site_types.js';
import {summarizeRuns} from './run_summary.js';
import {createSeededRandom} from '@chicoryspring/testing';

const SEEDS = [1, 2, 3, 4, 5];
const STEP_MILLISECONDS = 1_000;
const WARM_UP_MILLISECONDS = 200_000;
const SHIFT_MILLISECONDS = 400_000;
const END_MILLISECONDS = 600_000;
const CHECKS_PER_STEP = 40;
/** Answer of an undisturbed target, in units of the histogram. */
const BASE_MICROSECONDS = 2_000;
const NOISE_SHARE = 0.2;
const MICROSECONDS_PER_MILLISECOND = 1_000;
const MILLISECONDS_PER_HOUR = 3_600_000;
const MEAN_WORK_MILLISECONDS = 35_000;
const MEAN_DECLARED_PROCESSORS = 2.5;

type CreatePolicy = (fleet: FakeFleet, random: () => number) => PlacementPolicy;

interface RunFigures {
  readonly p50Milliseconds: number;
  readonly p99Milliseconds: number;
  /** Processor-hours of work done. */
  readonly work: number;
}

/** Compares policies under the same tasks, waves and load shift. */
export function measurePlacement(
  policies: Readonly<Record<string, CreatePolicy>>,
  sites: readonly PlacementSite[],
  load: number,
): readonly Readonly<Record<string, string | number>>[] {
  return sites.flatMap(site =>
    Object.entries(policies).map(([policy, create]) => {
      const runs = SEEDS.map(seed => measureSeed(create, site, load, seed));
      return {
        site: site.name,
        policy,
        p50: summarizeRuns(runs.map(run => run.p50Milliseconds)),
        p99: summarizeRuns(runs.map(run => run.p99Milliseconds)),
        work: summarizeRuns(runs.map(run => run.work)),
      };
    }),
  );
}

function measureSeed(
  create: CreatePolicy,
  site: PlacementSite,
  load: number,
  seed: number,
): RunFigures {
  // Each use draws from a generator of its own, so that no policy's draws
  // change the tasks, the tables or the checks of another.
  const tables = createSeededRandom(seed);
  const before = new HiddenPairTable(FakeFleet.classes, tables, site.harmScale);
  const after = new HiddenPairTable(FakeFleet.classes, tables, site.harmScale);
  const arrivals = createSeededRandom(seed + 1_000);
  const checks = createSeededRandom(seed + 2_000);
  const source = new FakeTaskSource(arrivals);
  const fleet = new FakeFleet(site);
  const policy = create(fleet, createSeededRandom(seed + 3_000));
  const histogram = build({numberOfSignificantValueDigits: 3});
  const rate = arrivalsPerStep(site, load);
  let work = 0;
  let due = 0;
  for (let now = 0; now < END_MILLISECONDS; now += STEP_MILLISECONDS) {
    const table = now < SHIFT_MILLISECONDS ? before : after;
    due += rate * 2 * arrivals();
    for (; due >= 1; due -= 1) fleet.submit([source.create(now)]);
    fleet.place(policy, now);
    const done = fleet.run(table, STEP_MILLISECONDS);
    fleet.report(table, now);
    if (now < WARM_UP_MILLISECONDS) continue;
    work += done;
    recordChecks(fleet, table, checks, histogram);
  }
  const at = (percentile: number) =>
    histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;
  return {
    p50Milliseconds: at(50),
    p99Milliseconds: at(99),
    work: work / MILLISECONDS_PER_HOUR,
  };
}

function recordChecks(
  fleet: FakeFleet,
  table: HiddenPairTable,
  random: () => number,
  histogram: Histogram,
): void {
  const slowdowns = fleet.workers.map(one => one.serviceSlowdown(table));
  for (let count = 0; count < CHECKS_PER_STEP; count += 1) {
    histogram.recordValue(checkOnce(slowdowns, random));
  }
}

function arrivalsPerStep(site: PlacementSite, load: number): number {
  const demand = MEAN_DECLARED_PROCESSORS * MEAN_WORK_MILLISECONDS;
  const supply = site.workers * site.processors * STEP_MILLISECONDS;
  return (load * supply) / demand;
}

/** A check at the quicker of two targets, as routing would choose. */
function checkOnce(slowdowns: readonly number[], random: () => number): number {
  const draw = () => slowdowns[Math.floor(random() * slowdowns.length)]!;
  const slowdown = Math.min(draw(), draw());
  const noise = 1 - NOISE_SHARE * Math.log(1 - random());
  return Math.round(BASE_MICROSECONDS * slowdown * noise);
}
