import {LocalFleetStarter} from '@chicoryspring/stand-ins/local/local_fleet_starter.js';
import type {LocalFleet} from '@chicoryspring/stand-ins/local/local_fleet_types.js';
import type {LoadFigures} from '../load/load_figures_types.js';
import {OpenLoad} from '../load/open_load.js';
import type {ResultTable} from '../results/result_table_types.js';
import {summarizeSeeds} from '../results/seed_summary.js';
import {StormLoad} from './storm_load.js';

const SERVICE = 'records';
const QUIET_PER_SECOND = 200;
const STORM_CLIENTS = 200;
const RUN_MILLISECONDS = 6_000;
const FLEET = {
  entries: 2,
  workers: 4,
  failureDomains: 3,
  basePort: 9_000,
  shards: 8,
  slots: 8,
  connections: 64,
  serviceMilliseconds: 20,
} as const;

interface StormRun {
  readonly quiet: LoadFigures;
  readonly stormed: LoadFigures;
  readonly storm: {readonly answers: number; readonly refusals: number};
}

/** One caller repeats at once, without pause; how the others fare. */
export async function measureLimits(
  seeds: readonly number[],
): Promise<ResultTable> {
  const starter = new LocalFleetStarter(FLEET);
  try {
    const fleet = await starter.start();
    await measureQuiet(fleet, seeds[0]!);
    const runs: StormRun[] = [];
    for (const seed of seeds) runs.push(await runOnce(fleet, seed));
    return toTable(seeds, runs);
  } finally {
    await starter.stop();
  }
}

async function runOnce(fleet: LocalFleet, seed: number): Promise<StormRun> {
  const quiet = await measureQuiet(fleet, seed);
  const token = `Bearer ${fleet.callerTokens['rangers']}`;
  const storm = new StormLoad(fleet.entries[0]!.url, token, SERVICE);
  const raging = storm.run(STORM_CLIENTS);
  const stormed = await measureQuiet(fleet, seed);
  storm.stop();
  await raging;
  return {quiet, stormed, storm: storm.counts};
}

async function measureQuiet(
  fleet: LocalFleet,
  seed: number,
): Promise<LoadFigures> {
  const token = `Bearer ${fleet.callerTokens['villages']}`;
  const urls = fleet.entries.map(entry => entry.url);
  const load = new OpenLoad(urls, token, SERVICE, seed);
  return await load.run(QUIET_PER_SECOND, RUN_MILLISECONDS);
}

function toTable(
  seeds: readonly number[],
  runs: readonly StormRun[],
): ResultTable {
  const rises = runs.map(
    ({quiet, stormed}) => stormed.p99Milliseconds / quiet.p99Milliseconds,
  );
  const rise = summarizeSeeds(rises).median;
  const verdict = rise <= 1.1 ? 'met' : 'missed';
  return {
    name: 'limits',
    title: 'A storm of one caller',
    command: `npm run bench -- limits --seeds ${seeds.length}`,
    seeds,
    remarks: [
      `${STORM_CLIENTS} clients of one caller repeat at once; another caller sends ${QUIET_PER_SECOND} checks a second.`,
      `The other's p99 changes by a factor of ${rise.toFixed(2)} (median); target 1.10: ${verdict}.`,
    ],
    columns: [
      'seed',
      'others p50 / p99 before, ms',
      'others p50 / p99 in the storm, ms',
      'others failed',
      'storm answered',
      'storm refused',
    ],
    rows: runs.map(({quiet, stormed, storm}, position) => [
      String(seeds[position]),
      `${quiet.p50Milliseconds} / ${quiet.p99Milliseconds}`,
      `${stormed.p50Milliseconds} / ${stormed.p99Milliseconds}`,
      String(stormed.failures),
      String(storm.answers),
      String(storm.refusals),
    ]),
  };
}
