import {setTimeout as sleep} from 'node:timers/promises';
import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {LocalFleetStarter} from '../local/local_fleet_starter.js';
import {countBrokenPromises} from '../local/spec/broken_promises_count.js';
import {FleetCaller} from '../local/spec/fleet_caller.js';

const PROCESSORS = 16;
const NOTHING_BROKEN = {inTwoPlaces: 0, startedTwice: 0, overCommitted: 0};
/** Longer than every lease: 6 s of an owner and 3 s of a worker. */
const PAUSE_MILLISECONDS = 9_000;

const starter = new LocalFleetStarter({
  workers: 2,
  failureDomains: 2,
  basePort: 15_650,
});
const fleet = await starter.start();
const caller = new FleetCaller(fleet);

/** Tasks of 5 processors, so that a worker runs three at once. */
async function submitRuns(
  count: number,
  workMilliseconds: number,
): Promise<readonly string[]> {
  const resources = {processors: 5, memoryMebibytes: 64, accelerators: 0};
  const input = JSON.stringify({workMilliseconds, answer: 'done'});
  return await Promise.all(
    Array.from({length: count}, (_, n) =>
      caller.submit({resources, input}, n % 2),
    ),
  );
}

/** A bound against waiting for ever; no verdict depends on it. */
const MOST_POLLS = 800;

async function untilRunning(count: number): Promise<void> {
  for (let poll = 0; poll < MOST_POLLS; poll += 1) {
    const starts = (await caller.allStarts()).flat();
    const running = starts.filter(one => !one.endedAtMilliseconds);
    if (running.length >= count) return;
    await sleep(50);
  }
  throw new Error('the tasks did not start');
}

describe('agent', (_, hooks) => {
  hooks.after(() => starter.stop());

  describe('killed with tasks running and started again', test => {
    test('breaks no promise, and every task ends with its answer', async () => {
      const ids = await submitRuns(10, 6_000);
      await untilRunning(6);
      process.kill(fleet.agents[0]!.pid, 'SIGKILL');
      starter.group.startAgain('agent-1');
      await caller.untilAll(ids, 'finished', 1);
      const broken = countBrokenPromises(await caller.allStarts(), PROCESSORS);
      assert.equal(broken, NOTHING_BROKEN);
    });
  });

  describe('paused past every lease', test => {
    test('breaks no promise when it wakes', async () => {
      const ids = await submitRuns(6, 12_000);
      await untilRunning(6);
      const pid = starter.group.pidOf('agent-2');
      process.kill(pid, 'SIGSTOP');
      await sleep(PAUSE_MILLISECONDS);
      process.kill(pid, 'SIGCONT');
      await caller.untilAll(ids, 'finished', 1);
      const broken = countBrokenPromises(await caller.allStarts(), PROCESSORS);
      assert.equal(broken, NOTHING_BROKEN);
    });
  });
});
