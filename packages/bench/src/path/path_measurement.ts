import {fileURLToPath} from 'node:url';
import {LocalFleetStarter} from '@chicoryspring/stand-ins/local/local_fleet_starter.js';
import {ClosedLoad} from '../load/closed_load.js';
import type {LoadFigures} from '../load/load_figures_types.js';
import {PATH_FLEET_OPTIONS} from './path_fleet_options.js';

const PORT_OFFSET = Number(process.env['CHICORYSPRING_LOCAL_PORT_OFFSET'] ?? 0);
const PASS_THROUGH_PORT = PATH_FLEET_OPTIONS.basePort + PORT_OFFSET + 90;
const SERVICE = 'records';
const CLIENT_COUNTS = [1, 16, 64];
/** Load before the measurement, until the code of each way is compiled. */
const COMPILING_CLIENTS = 64;
const COMPILING_MILLISECONDS = 3_000;
const MEASURED_MILLISECONDS = 5_000;
const PASS_THROUGH = fileURLToPath(
  import.meta
    .resolve('@chicoryspring/stand-ins/pass_through/pass_through_main.js'),
);

interface PathFigures extends LoadFigures {
  readonly way: string;
  readonly clients: number;
}

interface Way {
  readonly way: string;
  readonly url: string;
}

/** Times checks at the target, over a pass-through and over the path. */
export async function measurePath(): Promise<readonly PathFigures[]> {
  const starter = new LocalFleetStarter(PATH_FLEET_OPTIONS);
  try {
    const fleet = await starter.start();
    const targets = fleet.targets.map(target => target.url);
    const token = `Bearer ${fleet.callerTokens['rangers']}`;
    const ways: readonly Way[] = [
      {way: 'target alone', url: targets[0]!},
      {way: 'pass-through', url: startPassThrough(starter, targets)},
      {way: 'whole path', url: fleet.entries[0]!.url},
    ];
    return await measureWays(ways, token);
  } finally {
    await starter.group.stop(['pass-through']);
    await starter.stop();
  }
}

async function measureWays(
  ways: readonly Way[],
  token: string,
): Promise<readonly PathFigures[]> {
  const figures: PathFigures[] = [];
  for (const {url} of ways) {
    const load = new ClosedLoad(url, token, SERVICE);
    await load.run(COMPILING_CLIENTS, COMPILING_MILLISECONDS);
  }
  for (const clients of CLIENT_COUNTS) {
    for (const {way, url} of ways) {
      const load = new ClosedLoad(url, token, SERVICE);
      const measured = await load.run(clients, MEASURED_MILLISECONDS);
      figures.push({way, clients, ...measured});
    }
  }
  return figures;
}

function startPassThrough(
  starter: LocalFleetStarter,
  targets: readonly string[],
): string {
  const flags = {
    port: String(PASS_THROUGH_PORT),
    'target-urls': targets.join(','),
  };
  const texts = Object.entries(flags).map(
    ([flag, text]) => `--${flag}=${text}`,
  );
  starter.group.start('pass-through', PASS_THROUGH, texts);
  return `http://127.0.0.1:${PASS_THROUGH_PORT}`;
}
