import {setTimeout as sleep} from 'node:timers/promises';
import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import type {StoreFault} from '../store/store_fault_types.js';
import {LocalFleetStarter} from './local_fleet_starter.js';
import {FleetClient} from './spec/fleet_client.js';

const BASE_PORT = 5_700;
const TASKS = 50;
const SUBMISSION_MILLISECONDS = 60;
/** Longer than the lease of an entry and that of a task. */
const OUTAGE_MILLISECONDS = 10_000;
const WATCHES = 12;
/** Several times the leases of an entry and of a task. */
const WATCH_OUTAGE_MILLISECONDS = 25_000;
const SETTLED = ['finished', 'failed', 'cancelled'];

const FAULTS: readonly {
  readonly name: string;
  readonly fault: StoreFault;
  /** Time that the fault lasts. */
  readonly milliseconds: number;
}[] = [
  {
    name: 'that loses half of its replies',
    fault: {fault: 'reply-lost', probability: 0.5},
    milliseconds: 6_000,
  },
  {
    name: 'that takes 1 s for each call',
    fault: {fault: 'slow', delayMilliseconds: 1_000},
    milliseconds: 6_000,
  },
  {name: 'that is down', fault: {fault: 'down'}, milliseconds: 12_000},
  {
    name: 'whose watches are silent',
    fault: {fault: 'watch-silent'},
    milliseconds: 4_000,
  },
];

const starter = new LocalFleetStarter({
  basePort: BASE_PORT,
});
const fleet = await starter.start();
const client = new FleetClient(fleet);

/** Submits one task after another, whatever the store does. */
async function submitMany(name: string) {
  return await Promise.all(
    Array.from({length: TASKS}, async (_, n) => {
      await sleep(n * SUBMISSION_MILLISECONDS);
      const entry = fleet.entries[n % fleet.entries.length]!;
      const key = `${name} ${n}`;
      return {key, entry, ...(await client.submit(entry, key))};
    }),
  );
}

describe('a store', (_, hooks) => {
  hooks.after(() => starter.stop());

  describe('during submissions', test => {
    for (const {name, fault, milliseconds} of FAULTS) {
      test(`${name}: accepted runs once, not-run never`, async () => {
        await client.setStoreFault(fault);
        const submissions = submitMany(name);
        await sleep(milliseconds);
        await client.setStoreFault({fault: 'none'});
        const told = await submissions;
        const accepted = told.filter(one => one.outcome === 'accepted');
        for (const {id, entry} of accepted) {
          const state = await client.waitForState(entry, id!, SETTLED);
          assert.is(state, 'finished');
        }
        const refused = told.filter(one => one.outcome === 'not-run');
        const unknown = TASKS - accepted.length - refused.length;
        console.log(
          `figure: ${name}: ${accepted.length} accepted, ` +
            `${refused.length} not-run, ${unknown} unknown`,
        );
        const starts = (await client.starts()).map(one => one.task);
        const started = new Set(starts);
        const again = starts.length - started.size;
        console.log(`figure: ${again} starts of a later epoch so far`);
        assert.equal(await client.doubledStarts(), []);
        const present = refused.filter(one =>
          started.has(FleetClient.taskIdOf(one.key)),
        );
        assert.equal(present, []);
      });
    }
  });

  describe('that is down for longer than every lease', test => {
    test('leaves the watches running, each in one place', async () => {
      const names = Array.from({length: WATCHES}, (__, n) => `watch ${n}`);
      const entry = fleet.entries[0]!;
      const ids = await Promise.all(
        names.map(name => client.submitUntilAccepted(entry, name, 'watch')),
      );
      for (const id of ids) await client.waitForState(entry, id, ['running']);
      const before = (await client.starts()).length;
      await client.setStoreFault({fault: 'down'});
      await sleep(WATCH_OUTAGE_MILLISECONDS);
      const running = await client.runningTasks();
      await client.setStoreFault({fault: 'none'});
      await sleep(OUTAGE_MILLISECONDS);
      assert.equal([...running].sort(), [...ids].sort());
      assert.is((await client.starts()).length, before);
    });

    test('leaves the entries ready, and checks are answered', async () => {
      await client.setStoreFault({fault: 'down'});
      await sleep(OUTAGE_MILLISECONDS);
      const told = await Promise.all(
        fleet.entries.map(async entry => ({
          ready: await client.readiness(entry),
          check: await client.check(entry, 'gauge 17'),
        })),
      );
      await client.setStoreFault({fault: 'none'});
      const expected = {ready: 200, check: 'gauge 17'};
      assert.equal(told, [expected, expected]);
    });
  });
});
