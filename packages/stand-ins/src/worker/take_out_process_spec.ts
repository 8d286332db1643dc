import {setTimeout as sleep} from 'node:timers/promises';
import * as assert from 'uvu/assert';
import {request} from 'undici';
import {describe} from '@chicoryspring/testing';
import {LocalFleetStarter} from '../local/local_fleet_starter.js';
import {countBrokenPromises} from '../local/spec/broken_promises_count.js';
import {FleetCaller} from '../local/spec/fleet_caller.js';

const PROCESSORS = 16;
const NOTHING_BROKEN = {inTwoPlaces: 0, startedTwice: 0, overCommitted: 0};
/** Time after a take-out from which nothing may start in the domain. */
const IN_FORCE_MILLISECONDS = 3_000;
const OUT = '/v1/failure-domains/kinangop/take-out';
const BACK = '/v1/failure-domains/kinangop/bring-back';

const starter = new LocalFleetStarter({
  basePort: 17_650,
});
const fleet = await starter.start();
const caller = new FleetCaller(fleet);

function now(): number {
  return performance.timeOrigin + performance.now();
}

/** Submits short tasks all the while; returns their ids. */
async function submitFor(milliseconds: number): Promise<readonly string[]> {
  const deadline = now() + milliseconds;
  const ids: string[] = [];
  while (now() < deadline) {
    ids.push(await caller.submit({}, 0));
    await sleep(50);
  }
  return ids;
}

/** Starts on the worker of the domain within a span of time. */
async function startsBetween(from: number, until: number): Promise<number> {
  const starts = await caller.starts(0);
  const times = starts.map(one => one.atMilliseconds);
  return times.filter(time => time > from && time <= until).length;
}

async function setStoreFault(fault: string): Promise<void> {
  const url = `${fleet.store.url}/faults`;
  const body = JSON.stringify({fault});
  const answer = await request(url, {method: 'POST', body});
  await answer.body.dump();
}

describe('failure domain', (_, hooks) => {
  hooks.after(() => starter.stop());

  describe('taken out during placement', test => {
    test('starts nothing after 3 s, and its tasks run elsewhere', async () => {
      const watches = await Promise.all(
        Array.from({length: 9}, () => caller.submit({kind: 'watch'})),
      );
      await caller.untilAll(watches, 'running');
      const first = await caller.operate(OUT, 0);
      const second = await caller.operate(OUT, 1);
      assert.equal([first.status, second.status], [200, 200], first.text);
      const outAt = now();
      const runs = await submitFor(2 * IN_FORCE_MILLISECONDS);
      await caller.untilAll(runs, 'finished');
      await caller.untilAll(watches, 'running');
      const from = outAt + IN_FORCE_MILLISECONDS;
      assert.is(await startsBetween(from, now()), 0);
      const views = await Promise.all(watches.map(id => caller.task(id)));
      const left = views.filter(view => view.worker === 'worker-1');
      assert.is(left.length, 0);
      const broken = countBrokenPromises(await caller.allStarts(), PROCESSORS);
      assert.equal(broken, NOTHING_BROKEN);
    });

    test('and brought back starts work again', async () => {
      const back = await caller.operate(BACK, 1);
      assert.is(back.status, 200, back.text);
      const backAt = now();
      // The watches leave room for at most one of these elsewhere.
      const resources = {processors: 16, memoryMebibytes: 64, accelerators: 0};
      const input = JSON.stringify({workMilliseconds: 2_000, answer: 'done'});
      const large = {resources, input};
      const runs = [await caller.submit(large), await caller.submit(large)];
      await caller.untilAll(runs, 'finished');
      assert.ok((await startsBetween(backAt, now())) > 0);
    });
  });

  describe('taken out while an entry is paused', test => {
    test('starts nothing after 3 s, also when the entry wakes', async () => {
      const {pid} = fleet.entries[1]!;
      process.kill(pid, 'SIGSTOP');
      const out = await caller.operate(OUT, 0);
      assert.is(out.status, 200, out.text);
      const outAt = now();
      await sleep(IN_FORCE_MILLISECONDS);
      process.kill(pid, 'SIGCONT');
      const runs = await submitFor(IN_FORCE_MILLISECONDS);
      await caller.untilAll(runs, 'finished');
      const from = outAt + IN_FORCE_MILLISECONDS;
      assert.is(await startsBetween(from, now()), 0);
    });
  });

  describe('out while the store goes down', test => {
    test('starts nothing, and work goes on when the store is back', async () => {
      const downAt = now();
      await setStoreFault('down');
      await sleep(2 * IN_FORCE_MILLISECONDS);
      await setStoreFault('none');
      const ids = await submitFor(1_000);
      await caller.untilAll(ids, 'finished');
      assert.is(await startsBetween(downAt, now()), 0);
      const broken = countBrokenPromises(await caller.allStarts(), PROCESSORS);
      assert.equal(broken, NOTHING_BROKEN);
    });
  });
});
