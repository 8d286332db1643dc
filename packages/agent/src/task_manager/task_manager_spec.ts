import * as fastCheck from 'fast-check';
import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {TaskManagerFixture} from './spec/task_manager_fixture.js';

const SEED = 20261204;
const CAPACITY_PROCESSORS = 4;

async function withFixture(
  use: (fixture: TaskManagerFixture) => Promise<void>,
): Promise<void> {
  const fixture = await new TaskManagerFixture().open();
  try {
    await use(fixture);
  } finally {
    fixture.close();
  }
}

describe('task manager', () => {
  describe('before the ledger is rebuilt', test => {
    test('accepts no start, stop or renewal', async () => {
      const fixture = new TaskManagerFixture();
      assert.is(await fixture.start('a'), 'worker-unreachable');
      assert.is(await fixture.stop('a'), 'worker-unreachable');
      assert.throws(() => fixture.renew(['a']));
      assert.equal(fixture.worker.starts, []);
    });
  });

  describe('after a restart', test => {
    test('recovers running tasks and does not over-commit', () =>
      withFixture(async fixture => {
        await fixture.start('a', 3, 3);
        const again = new TaskManagerFixture();
        for (const [id, task] of fixture.worker.running) {
          again.worker.running.set(id, task);
        }
        await again.open();
        assert.equal(again.renew(['a'], 3), []);
        assert.is(await again.start('b', 1, 2), 'capacity-exceeded');
        assert.is(await again.start('a', 3), 'stale-epoch');
        assert.is(again.worker.running.size, 1);
        again.close();
      }));

    test('rebuilds even if the running tasks exceed the capacity', () =>
      withFixture(async fixture => {
        await fixture.start('a', 1, 3);
        const running = fixture.worker.running.get('a')!;
        const task = {...running.task, id: 'b'};
        fixture.worker.running.set('b', {...running, task});
        await fixture.manager.rebuild();
        assert.is(fixture.manager.free.processors, CAPACITY_PROCESSORS - 6);
        assert.is(await fixture.start('c'), 'capacity-exceeded');
      }));
  });

  describe('start whose reply was lost', test => {
    test('keeps its capacity until the worker confirms that it stopped', () =>
      withFixture(async fixture => {
        fixture.worker.losesNextReply = true;
        assert.is(await fixture.start('a', 1, 3), 'worker-refused');
        await fixture.elapse(10_000);
        assert.is(fixture.manager.free.processors, 1);
        fixture.worker.isReachable = true;
        await fixture.elapse(2_000);
        assert.is(fixture.manager.free.processors, CAPACITY_PROCESSORS);
        assert.is(fixture.worker.running.size, 0);
        assert.equal(fixture.worker.renewals, []);
      }));

    test('can be stopped by its owner once the worker is reachable', () =>
      withFixture(async fixture => {
        fixture.worker.losesNextReply = true;
        await fixture.start('a');
        assert.is(await fixture.stop('a'), 'worker-refused');
        fixture.worker.isReachable = true;
        assert.is(await fixture.stop('a'), 'done');
        assert.is(fixture.worker.running.size, 0);
        assert.is(await fixture.start('a', 2), 'done');
      }));
  });

  describe('task that has ended on the worker', test => {
    test('is neither missing nor stopped before it is reported', () =>
      withFixture(async fixture => {
        await fixture.start('a');
        fixture.unresponsiveOwners.add('a');
        fixture.worker.finish('a');
        assert.is(await fixture.stop('a'), 'worker-refused');
        await fixture.elapse(2_000);
        assert.equal(fixture.renew(['a']), []);
        assert.is(await fixture.stop('a'), 'worker-refused');
        assert.is(fixture.manager.free.processors, CAPACITY_PROCESSORS);
      }));

    test('is reported once, after which a stop succeeds', () =>
      withFixture(async fixture => {
        await fixture.start('a');
        fixture.worker.finish('a');
        await fixture.elapse(1_000);
        assert.equal(fixture.reported, ['a finished']);
        assert.is(await fixture.stop('a'), 'done');
      }));

    test('does not wait for the owner of another task', () =>
      withFixture(async fixture => {
        fixture.unresponsiveOwners.add('a');
        for (const id of ['a', 'b', 'c']) await fixture.start(id);
        for (const id of ['a', 'b', 'c']) fixture.worker.finish(id);
        await fixture.elapse(1_000);
        assert.equal(fixture.reported, ['b finished', 'c finished']);
      }));
  });

  describe('stop of an earlier epoch', test => {
    test('that races with a later start does not stop it', () =>
      withFixture(async fixture => {
        const stopped = fixture.stop('a', 1);
        const started = fixture.start('a', 2);
        assert.equal([await stopped, await started], ['done', 'done']);
        assert.is(fixture.worker.running.get('a')?.epoch, 2);
        assert.is(fixture.manager.free.processors, CAPACITY_PROCESSORS - 1);
      }));

    test('that arrives after a later start is rejected', () =>
      withFixture(async fixture => {
        await fixture.start('a', 2);
        assert.is(await fixture.stop('a', 1), 'stale-epoch');
        assert.is(fixture.worker.running.size, 1);
      }));
  });

  describe('lease of the owner', test => {
    test('that has expired ends the task with a checkpoint', () =>
      withFixture(async fixture => {
        await fixture.start('a');
        await fixture.elapse(7_500);
        assert.equal(fixture.reported, ['a lapsed']);
        assert.is(fixture.worker.running.size, 0);
      }));

    test('that has expired is not renewed at the worker', () =>
      withFixture(async fixture => {
        await fixture.start('a');
        fixture.worker.isReachable = false;
        await fixture.elapse(7_000);
        fixture.worker.isReachable = true;
        fixture.worker.renewals.length = 0;
        await fixture.elapse(2_000);
        assert.equal(fixture.worker.renewals, []);
        assert.equal(fixture.reported, ['a lapsed']);
      }));

    test('that expired in transit starts nothing', () =>
      withFixture(async fixture => {
        const kind = await fixture.start('a', 1, 1, 0);
        assert.is(kind, 'lease-lapsed');
        assert.equal(fixture.worker.starts, []);
      }));
  });

  describe('task that the worker has lost', test => {
    test('is reported as lapsed and releases its capacity', () =>
      withFixture(async fixture => {
        await fixture.start('a');
        fixture.worker.running.clear();
        await fixture.elapse(2_000);
        assert.equal(fixture.reported, ['a lapsed']);
        assert.is(fixture.manager.free.processors, CAPACITY_PROCESSORS);
      }));
  });

  describe('failure domain that is taken out', test => {
    test('evicts each task once and starts nothing', () =>
      withFixture(async fixture => {
        await fixture.start('a');
        await fixture.start('b');
        fixture.setDomainsOut(2, ['kinangop']);
        await fixture.elapse(3_000);
        assert.equal(fixture.reported, ['a evicted', 'b evicted']);
        assert.is(fixture.worker.running.size, 0);
        assert.is(await fixture.start('c'), 'failure-domain-out');
      }));

    test('and brought back starts tasks under a newer epoch', () =>
      withFixture(async fixture => {
        await fixture.start('a');
        fixture.setDomainsOut(2, ['kinangop']);
        await fixture.elapse(2_000);
        fixture.setDomainsOut(3, []);
        fixture.setDomainsOut(2, ['kinangop']);
        assert.is(await fixture.start('a', 1), 'stale-epoch');
        assert.is(await fixture.start('a', 2), 'done');
      }));
  });

  describe('last epochs', test => {
    test('of removed tasks are dropped', () =>
      withFixture(async fixture => {
        for (let task = 0; task < 500; task += 1) {
          await fixture.start(`task-${task}`);
          await fixture.stop(`task-${task}`);
        }
        await fixture.elapse(40_000);
        assert.is(fixture.manager.lastEpochCount, 0);
      }));
  });

  describe('random sequence of events', test => {
    test('never over-commits, starts twice or loses an ending', async () => {
      const event = fastCheck.record({
        what: fastCheck.constantFrom(
          'start',
          'stop',
          'finish',
          'lose-reply',
          'reach',
          'renew',
          'pass',
        ),
        task: fastCheck.integer({min: 0, max: 4}),
        processors: fastCheck.integer({min: 1, max: 3}),
      });
      const events = fastCheck.array(event, {maxLength: 30});
      const property = fastCheck.asyncProperty(events, applyEvents);
      await fastCheck.assert(property, {seed: SEED, numRuns: 200});
    });
  });
});

interface TaskEvent {
  readonly what: string;
  readonly task: number;
  readonly processors: number;
}

/** Applies the events; returns whether the invariants held throughout. */
async function applyEvents(events: readonly TaskEvent[]): Promise<boolean> {
  const fixture = await new TaskManagerFixture().open();
  let epoch = 0;
  let finished = 0;
  for (const {what, task, processors} of events) {
    const id = `task-${task}`;
    epoch += 1;
    if (what === 'start') await fixture.start(id, epoch, processors);
    if (what === 'stop') await fixture.stop(id, epoch - 1);
    if (what === 'finish' && fixture.worker.running.has(id)) {
      fixture.worker.finish(id);
      finished += 1;
    }
    if (what === 'lose-reply') fixture.worker.losesNextReply = true;
    if (what === 'reach') fixture.worker.isReachable = true;
    if (what === 'renew') fixture.renew([id], epoch - 1);
    if (what === 'pass') await fixture.elapse(1_000);
    const used = [...fixture.worker.running.values()];
    const sum = used.reduce(
      (total, one) => total + one.task.resources.processors,
      0,
    );
    const committed = CAPACITY_PROCESSORS - fixture.manager.free.processors;
    if (sum > CAPACITY_PROCESSORS || sum > committed) return false;
  }
  fixture.worker.isReachable = true;
  fixture.worker.losesNextReply = false;
  await fixture.elapse(3_000);
  fixture.close();
  const reported = fixture.reported.filter(one => one.endsWith('finished'));
  const isOnce =
    new Set(fixture.worker.starts).size === fixture.worker.starts.length;
  return isOnce && reported.length === finished;
}
