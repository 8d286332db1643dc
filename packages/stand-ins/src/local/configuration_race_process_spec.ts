import fc from 'fast-check';
import {setTimeout as sleep} from 'node:timers/promises';
import * as assert from 'uvu/assert';
import {request} from 'undici';
import {describe} from '@chicoryspring/testing';
import {LocalFleetStarter} from './local_fleet_starter.js';

const BASE_PORT = 6_400;
const SEED = 20_261_206;
const ROUNDS = 100;
const POLL_MILLISECONDS = 5;
const CONFLICT = 409;
const OK = 200;

const starter = new LocalFleetStarter({
  entries: 3,
  workers: 1,
  failureDomains: 1,
  basePort: BASE_PORT,
  shards: 4,
});
const fleet = await starter.start();
const headers = {authorization: `Bearer ${fleet.operatorToken}`};

type Entry = (typeof fleet.entries)[number];

interface ConfigurationSet {
  readonly revision: number;
  readonly objects: readonly {readonly kind: string; readonly spec: object}[];
}

/** How one operator's change was answered. */
interface Told {
  readonly status: number;
  readonly text: string;
}

async function read(entry: Entry): Promise<ConfigurationSet> {
  const answer = await request(`${entry.url}/v1/configuration`, {headers});
  return (await answer.body.json()) as ConfigurationSet;
}

/** Publishes the set with another objective, after a delay. */
async function change(
  entry: Entry,
  base: ConfigurationSet,
  tailObjectiveMilliseconds: number,
  delay: number,
): Promise<Told> {
  await sleep(delay);
  const objects = base.objects.map(object =>
    object.kind === 'Service'
      ? {...object, spec: {...object.spec, tailObjectiveMilliseconds}}
      : object,
  );
  const answer = await request(`${entry.url}/v1/configuration`, {
    method: 'PUT',
    headers: {...headers, 'if-match': String(base.revision)},
    body: JSON.stringify({objects}),
  });
  return {status: answer.statusCode, text: await answer.body.text()};
}

/** Counts how often the revision that an entry has in force went back. */
async function countReversions(
  entry: Entry,
  signal: AbortSignal,
): Promise<number> {
  let highest = 0;
  let reversions = 0;
  while (!signal.aborted) {
    const {revision} = await read(entry);
    reversions += Number(revision < highest);
    highest = Math.max(highest, revision);
    await sleep(POLL_MILLISECONDS);
  }
  return reversions;
}

describe('two operators in conflict', (_, hooks) => {
  hooks.after(() => starter.stop());

  describe(`in ${ROUNDS} seeded interleavings`, test => {
    test('one is accepted, the other told which revision won', async () => {
      const stopping = new AbortController();
      const reversions = fleet.entries.map(entry =>
        countReversions(entry, stopping.signal),
      );
      const delays = fc.sample(fc.tuple(fc.nat(4), fc.nat(4)), {
        seed: SEED,
        numRuns: ROUNDS,
      });
      let base = await read(fleet.entries[0]!);
      for (const [round, [first, second]] of delays.entries()) {
        const told = await Promise.all([
          change(fleet.entries[0]!, base, 100 + round, first),
          change(fleet.entries[1]!, base, 500 + round, second),
        ]);
        const winner = told.find(one => one.status === OK);
        const loser = told.find(one => one.status === CONFLICT);
        assert.ok(winner && loser, JSON.stringify(told));
        base = JSON.parse(winner.text) as ConfigurationSet;
        assert.match(loser.text, `revision ${base.revision} `);
      }
      stopping.abort();
      assert.equal(await Promise.all(reversions), [0, 0, 0]);
    });
  });
});
