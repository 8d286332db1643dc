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
/** Time after which a task crashes its worker late. */
const LATE_MILLISECONDS = 2_000;
/** Time in which a task can crash many workers late. */
const LATE_DAY_MILLISECONDS = 90_000;
/** Starts of a task that crashes each worker late. */
const MAX_LATE_STARTS = 5;
/** Time from which on a run is no longer blamed for a crash. */
const LONG_MILLISECONDS = 12_000;

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

    test('is given up although it is best effort', async () => {
      const fixture = await CrashingFleetFixture.open(AGENTS, ['j.0.0.0']);
      await fixture.submit('j', {isFilling: true});
      await fixture.pass(DAY_MILLISECONDS);
      assert.is(fixture.startCount('j.0.0.0'), MAX_STARTS);
      assert.is(fixture.status('j'), 'failed');
    });

    test('is given up although its workers fall silent', async () => {
      const fixture = await CrashingFleetFixture.open(AGENTS, ['j.0.0.0'], {
        isSilent: true,
      });
      await fixture.submit('j');
      await fixture.pass(2 * LATE_DAY_MILLISECONDS);
      // It starts again before the first worker comes back.
      assert.ok(fixture.startCount('j.0.0.0') <= MAX_STARTS + 1);
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

  describe('that crashes its workers late', test => {
    const openLate = async (agents: readonly string[]) =>
      CrashingFleetFixture.open(agents, ['j.0.0.0'], {
        milliseconds: LATE_MILLISECONDS,
      });

    test('is given up too', async () => {
      const fixture = await openLate(AGENTS);
      await fixture.submit('j');
      await fixture.pass(LATE_DAY_MILLISECONDS);
      assert.is(fixture.startCount('j.0.0.0'), MAX_LATE_STARTS);
      assert.is(fixture.status('j'), 'failed');
    });

    test('is given up by the next owner', async () => {
      const fixture = await openLate(AGENTS);
      await fixture.submit('j');
      while (fixture.startCount('j.0.0.0') < MAX_LATE_STARTS - 1)
        await fixture.pass(ROUND_MILLISECONDS);
      await fixture.replaceOwner();
      await fixture.pass(LATE_DAY_MILLISECONDS);
      // A crash while there is no owner is not counted.
      assert.ok(fixture.startCount('j.0.0.0') <= MAX_LATE_STARTS + 1);
      assert.is(fixture.status('j'), 'failed');
    });

    for (const what of ['isLasting', 'isFilling', 'isGang'] as const) {
      test(`is given up too, ${what}`, async () => {
        const fixture = await openLate(AGENTS);
        await fixture.submit('j', {count: 3, [what]: true});
        for (let crash = 0; crash <= MAX_LATE_STARTS; crash += 1) {
          await fixture.pass(DAY_MILLISECONDS);
          if (what !== 'isGang') continue;
          fixture.end('j.0.0.1', 'broken');
          fixture.end('j.0.0.2', 'broken');
        }
        assert.is(fixture.startCount('j.0.0.0'), MAX_LATE_STARTS);
        assert.is(fixture.status('j'), 'failed');
      });
    }

    for (const agents of [['a'], ['a', 'b'], AGENTS]) {
      test(`takes no job along, ${agents.length} workers`, async () => {
        const fixture = await openLate(agents);
        const innocent = ['i', 'k', 'l', 'm'];
        await fixture.submit('j');
        for (const id of innocent) await fixture.submit(id, {isLasting: true});
        await fixture.pass(2 * LATE_DAY_MILLISECONDS);
        for (const id of innocent) assert.is(fixture.status(id), 'running');
      });
    }
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
    test('is not isolated for crashes under tasks that had just begun', async () => {
      const deadly = ['j', 'l', 'm'];
      const names = deadly.map(id => `${id}.0.0.0`);
      const fixture = await CrashingFleetFixture.open(['a'], names);
      await fixture.submit('i', {isLasting: true});
      for (const id of deadly) {
        await fixture.passUntilRunning('i.0.0.0');
        await fixture.pass(ROUND_MILLISECONDS);
        await fixture.submit(id);
        await fixture.pass(ROUND_MILLISECONDS);
      }
      while (deadly.some(id => fixture.status(id) !== 'failed'))
        await fixture.pass(ROUND_MILLISECONDS);
      await fixture.passUntilRunning('i.0.0.0');
      await fixture.submit('k');
      await fixture.pass(ROUND_MILLISECONDS);
      assert.equal(fixture.runningTasks, ['i.0.0.0', 'k.0.0.0']);
    });

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

    test('is not given up for crashes long after its starts', async () => {
      const fixture = await CrashingFleetFixture.open(['a']);
      await fixture.submit('i', {isLasting: true});
      for (let crash = 0; crash < 6; crash += 1) {
        await fixture.passUntilRunning('i.0.0.0');
        await fixture.pass(LONG_MILLISECONDS);
        fixture.worker('a').exit();
        await fixture.pass(REFUSED_MILLISECONDS);
      }
      await fixture.passUntilRunning('i.0.0.0');
      assert.is(fixture.status('i'), 'running');
    });

    for (const [between, count] of [
      [2 * ROUND_MILLISECONDS, 2],
      [LONG_MILLISECONDS, 6],
    ] as const) {
      test(`is not given up for ${count} crashes with runs of ${between} ms between`, async () => {
        const fixture = await CrashingFleetFixture.open(['a']);
        await fixture.submit('i', {isLasting: true});
        for (let crash = 0; crash < count; crash += 1) {
          await fixture.passUntilRunning('i.0.0.0');
          fixture.worker('a').exit();
          await fixture.pass(REFUSED_MILLISECONDS);
          await fixture.passUntilRunning('i.0.0.0');
          await fixture.pass(between);
          fixture.worker('a').exit();
          await fixture.pass(REFUSED_MILLISECONDS);
        }
        await fixture.passUntilRunning('i.0.0.0');
        assert.is(fixture.status('i'), 'running');
      });
    }

    test('is not given up by an owner that never heard of the run between', async () => {
      const fixture = await CrashingFleetFixture.open(['a']);
      await fixture.submit('i');
      await fixture.passUntilRunning('i.0.0.0');
      fixture.worker('a').exit();
      await fixture.pass(REFUSED_MILLISECONDS);
      await fixture.passUntilRunning('i.0.0.0');
      await fixture.pass(2 * ROUND_MILLISECONDS);
      fixture.worker('a').exit();
      await fixture.pass(REFUSED_MILLISECONDS);
      await fixture.replaceOwner();
      await fixture.passUntilRunning('i.0.0.0');
      fixture.worker('a').exit();
      await fixture.pass(REFUSED_MILLISECONDS);
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
