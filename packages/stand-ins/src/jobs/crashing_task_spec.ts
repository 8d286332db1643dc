import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {CrashingFleetFixture} from './crashing_fleet_fixture.js';

const AGENTS = ['a', 'b', 'c'] as const;
/** Time in which a task can crash several workers, which come back. */
const DAY_MILLISECONDS = 25_000;
/** Time in which an order reaches a worker and is reported. */
const ROUND_MILLISECONDS = 1_200;
/** Time in which an agent sees that its worker's connections are refused. */
const REFUSED_MILLISECONDS = 900;
/** Time in which a task starts on a worker that is ready. */
const PROMPT_MILLISECONDS = 200;
/** Starts of a task that crashes each worker: the second is in isolation. */
const MAX_STARTS = 2;

describe('crashing task', () => {
  describe('of a job', test => {
    test('is given up after two workers have crashed under it', async () => {
      const fixture = await CrashingFleetFixture.open(AGENTS, ['j.0.0.0']);
      await fixture.submit('j');
      await fixture.pass(DAY_MILLISECONDS);
      assert.is(fixture.startCount('j.0.0.0'), MAX_STARTS);
      assert.is(fixture.status('j'), 'failed');
    });

    test('is given up although it lasts', async () => {
      const fixture = await CrashingFleetFixture.open(AGENTS, ['j.0.0.0']);
      await fixture.submit('j', {isLasting: true});
      await fixture.pass(DAY_MILLISECONDS);
      assert.is(fixture.startCount('j.0.0.0'), MAX_STARTS);
      assert.is(fixture.status('j'), 'failed');
    });

    test('is given up with its gang', async () => {
      const fixture = await CrashingFleetFixture.open(AGENTS, ['j.0.0.1']);
      await fixture.submit('j', {count: 3, isGang: true});
      for (let crash = 0; crash < MAX_STARTS + 1; crash += 1) {
        await fixture.pass(DAY_MILLISECONDS);
        fixture.end('j.0.0.0', 'broken');
        fixture.end('j.0.0.2', 'broken');
      }
      assert.is(fixture.startCount('j.0.0.1'), MAX_STARTS);
      assert.is(fixture.status('j'), 'failed');
    });

    test('is counted on by the next owner', async () => {
      const fixture = await CrashingFleetFixture.open(AGENTS, ['j.0.0.0']);
      await fixture.submit('j');
      await fixture.pass(ROUND_MILLISECONDS);
      await fixture.replaceOwner();
      await fixture.replaceOwner();
      await fixture.pass(DAY_MILLISECONDS);
      assert.is(fixture.startCount('j.0.0.0'), MAX_STARTS);
      assert.is(fixture.status('j'), 'failed');
    });
  });

  describe('beside others', test => {
    test('takes no job along that starts together with it', async () => {
      const fixture = await CrashingFleetFixture.open(AGENTS, ['j.0.0.0']);
      await Promise.all(
        ['i', 'j', 'k', 'l', 'm'].map(id => fixture.submit(id)),
      );
      await fixture.pass(DAY_MILLISECONDS);
      assert.is(fixture.status('j'), 'failed');
      const innocent = ['i.0.0.0', 'k.0.0.0', 'l.0.0.0', 'm.0.0.0'];
      assert.equal(fixture.runningTasks, innocent);
    });

    test('is given up alone where all of them share one worker', async () => {
      const fixture = await CrashingFleetFixture.open(['a'], ['k.0.0.0']);
      await Promise.all(
        ['i', 'j', 'k', 'l', 'm'].map(id => fixture.submit(id)),
      );
      await fixture.pass(DAY_MILLISECONDS);
      assert.is(fixture.startCount('k.0.0.0'), MAX_STARTS);
      assert.is(fixture.status('k'), 'failed');
      const innocent = ['i.0.0.0', 'j.0.0.0', 'l.0.0.0', 'm.0.0.0'];
      assert.equal(fixture.runningTasks, innocent);
    });

    test('leaves a task that has run for long free of blame', async () => {
      const fixture = await CrashingFleetFixture.open(['a'], ['j.0.0.0']);
      await fixture.submit('i', {isLasting: true});
      await fixture.pass(ROUND_MILLISECONDS);
      await fixture.submit('j');
      await fixture.pass(DAY_MILLISECONDS);
      assert.is(fixture.status('j'), 'failed');
      assert.equal(fixture.runningTasks, ['i.0.0.0']);
    });
  });

  describe('that starts after a crash', test => {
    test('is not ordered from the worker that is gone', async () => {
      const fixture = await CrashingFleetFixture.open(['a', 'b']);
      // Of equal workers the first one is chosen.
      fixture.worker('a').exit();
      await fixture.pass(REFUSED_MILLISECONDS);
      await fixture.submit('k');
      await fixture.pass(PROMPT_MILLISECONDS);
      assert.equal(fixture.runningTasks, ['k.0.0.0']);
    });
  });

  describe('that is innocent', test => {
    test('goes on when its worker crashes by itself again and again', async () => {
      const fixture = await CrashingFleetFixture.open(['a']);
      await fixture.submit('i', {isLasting: true});
      for (let crash = 0; crash < 4; crash += 1) {
        await fixture.pass(2 * ROUND_MILLISECONDS);
        assert.equal(fixture.runningTasks, ['i.0.0.0']);
        fixture.worker('a').exit();
        await fixture.pass(4 * ROUND_MILLISECONDS);
      }
      assert.is(fixture.status('i'), 'running');
    });

    test('is not given up for crashes with a run between that went on', async () => {
      const fixture = await CrashingFleetFixture.open(['a']);
      await fixture.submit('i', {isLasting: true});
      for (let crash = 0; crash < 4; crash += 1) {
        await fixture.passUntilRunning('i.0.0.0');
        fixture.worker('a').exit();
        await fixture.pass(REFUSED_MILLISECONDS);
        await fixture.passUntilRunning('i.0.0.0');
        await fixture.pass(2 * ROUND_MILLISECONDS);
        fixture.worker('a').exit();
        await fixture.pass(REFUSED_MILLISECONDS);
      }
      await fixture.passUntilRunning('i.0.0.0');
      assert.is(fixture.status('i'), 'running');
    });

    test('is not given up after an owner is replaced between the crashes', async () => {
      const fixture = await CrashingFleetFixture.open(['a']);
      await fixture.submit('i', {isLasting: true});
      for (let crash = 0; crash < 3; crash += 1) {
        await fixture.passUntilRunning('i.0.0.0');
        fixture.worker('a').exit();
        await fixture.pass(REFUSED_MILLISECONDS);
        await fixture.passUntilRunning('i.0.0.0');
        await fixture.replaceOwner();
        fixture.worker('a').exit();
        await fixture.pass(REFUSED_MILLISECONDS);
      }
      await fixture.passUntilRunning('i.0.0.0');
      assert.is(fixture.status('i'), 'running');
    });
  });
});
