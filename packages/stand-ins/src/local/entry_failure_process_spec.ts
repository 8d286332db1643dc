import {setTimeout as sleep} from 'node:timers/promises';
import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {LocalFleetStarter} from './local_fleet_starter.js';
import {FleetClient} from './spec/fleet_client.js';

const BASE_PORT = 5_000;
const TASKS = 30;
const WATCHES = 12;
/** Longer than the store lease of an entry and the lease of a task. */
const PAUSE_MILLISECONDS = 8_000;
const SETTLED = ['finished', 'failed', 'cancelled'];

const starter = new LocalFleetStarter({
  entries: 3,
  basePort: BASE_PORT,
  shards: 12,
});
const fleet = await starter.start();
const client = new FleetClient(fleet);
const [survivor, paused, killed] = fleet.entries;

/** Counts the tasks that run twice, again and again until it is stopped. */
async function watchForDoubles(signal: AbortSignal): Promise<Set<string>> {
  const found = new Set<string>();
  while (!signal.aborted) {
    for (const id of await client.doubledTasks()) found.add(id);
    await sleep(50);
  }
  return found;
}

describe('an entry', (_, hooks) => {
  hooks.after(() => starter.stop());

  describe('paused past its lease', test => {
    test('is fenced: each watch runs on, in one place', async () => {
      const names = Array.from({length: WATCHES}, (__, n) => `watch-${n}`);
      const ids = await Promise.all(
        names.map(name => client.submitUntilAccepted(survivor!, name, 'watch')),
      );
      for (const id of ids) {
        await client.waitForState(survivor!, id, ['running']);
      }
      const before = (await client.starts()).length;
      const stopping = new AbortController();
      const doubles = watchForDoubles(stopping.signal);
      process.kill(paused!.pid, 'SIGSTOP');
      await sleep(PAUSE_MILLISECONDS);
      process.kill(paused!.pid, 'SIGCONT');
      await sleep(PAUSE_MILLISECONDS);
      stopping.abort();
      const started = (await client.starts()).length - before;
      console.log(`figure: ${started} of ${WATCHES} watches started again`);
      assert.equal([...(await doubles)], []);
      assert.equal(await client.doubledStarts(), []);
      for (const id of ids) {
        const state = await client.waitForState(paused!, id, ['running']);
        assert.is(state, 'running');
      }
      const running = await client.runningTasks();
      assert.equal([...running].sort(), [...ids].sort());
    });
  });

  describe('killed while tasks are submitted elsewhere', test => {
    test('loses no accepted task and doubles none', async () => {
      const stopping = new AbortController();
      const doubles = watchForDoubles(stopping.signal);
      const submissions = Array.from({length: TASKS}, async (__, n) => {
        await sleep(n * 40);
        if (n === TASKS / 3) process.kill(killed!.pid, 'SIGKILL');
        const sent = Date.now();
        const id = await client.submitUntilAccepted(survivor!, `run-${n}`);
        return {id, waited: Date.now() - sent};
      });
      const accepted = await Promise.all(submissions);
      const waits = accepted.map(one => one.waited);
      console.log(`figure: accepted after at most ${Math.max(...waits)} ms`);
      for (const {id} of accepted) {
        const state = await client.waitForState(survivor!, id, SETTLED);
        assert.is(state, 'finished', id);
      }
      stopping.abort();
      assert.equal([...(await doubles)], []);
      assert.equal(await client.doubledStarts(), []);
    });
  });
});
