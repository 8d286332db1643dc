import * as fastCheck from 'fast-check';
import * as assert from 'uvu/assert';
import {describe} from '@chicoryspring/testing';
import {KeeperBench} from './spec/keeper_bench.js';

const SEED = 20261204;
const CAPACITY_PROCESSORS = 4;

async function withBench(
  use: (bench: KeeperBench) => Promise<void>,
): Promise<void> {
  const bench = await new KeeperBench().open();
  try {
    await use(bench);
  } finally {
    bench.close();
  }
}

describe('task keeper', () => {
  describe('before the ledger is rebuilt', test => {
    test('accepts nothing and calls nothing missing', async () => {
      const bench = new KeeperBench();
      assert.is(await bench.start('a'), 'worker-unreachable');
      assert.is(await bench.stop('a'), 'worker-unreachable');
      assert.throws(() => bench.renew(['a']));
      assert.equal(bench.worker.starts, []);
    });
  });

  describe('after a restart', test => {
    test('keeps what the worker runs and commits nothing beyond it', () =>
      withBench(async bench => {
        await bench.start('a', 3, 3);
        const again = new KeeperBench();
        for (const [id, task] of bench.worker.running) {
          again.worker.running.set(id, task);
        }
        await again.open();
        assert.equal(again.renew(['a'], 3), []);
        assert.is(await again.start('b', 1, 2), 'capacity-exceeded');
        assert.is(await again.start('a', 3), 'stale-epoch');
        assert.is(again.worker.running.size, 1);
        again.close();
      }));

    test('with more running than fits now still rebuilds', () =>
      withBench(async bench => {
        await bench.start('a', 1, 3);
        const running = bench.worker.running.get('a')!;
        const task = {...running.task, id: 'b'};
        bench.worker.running.set('b', {...running, task});
        await bench.keeper.rebuild();
        assert.is(bench.keeper.free.processors, CAPACITY_PROCESSORS - 6);
        assert.is(await bench.start('c'), 'capacity-exceeded');
      }));
  });

  describe('start whose reply is lost', test => {
    test('keeps its capacity until the worker says that it is gone', () =>
      withBench(async bench => {
        bench.worker.losesNextReply = true;
        assert.is(await bench.start('a', 1, 3), 'worker-refused');
        await bench.pass(10_000);
        assert.is(bench.keeper.free.processors, 1);
        bench.worker.isReachable = true;
        await bench.pass(2_000);
        assert.is(bench.keeper.free.processors, CAPACITY_PROCESSORS);
        assert.is(bench.worker.running.size, 0);
        assert.equal(bench.worker.renewals, []);
      }));

    test('is stopped by its owner as soon as that is possible', () =>
      withBench(async bench => {
        bench.worker.losesNextReply = true;
        await bench.start('a');
        assert.is(await bench.stop('a'), 'worker-refused');
        bench.worker.isReachable = true;
        assert.is(await bench.stop('a'), 'done');
        assert.is(bench.worker.running.size, 0);
        assert.is(await bench.start('a', 2), 'done');
      }));
  });

  describe('task that has ended at the worker', test => {
    test('is not missing, and not stopped, before it is reported', () =>
      withBench(async bench => {
        await bench.start('a');
        bench.silentOwners.add('a');
        bench.worker.finish('a');
        assert.is(await bench.stop('a'), 'worker-refused');
        await bench.pass(2_000);
        assert.equal(bench.renew(['a']), []);
        assert.is(await bench.stop('a'), 'worker-refused');
        assert.is(bench.keeper.free.processors, CAPACITY_PROCESSORS);
      }));

    test('is reported once, and then a stop is confirmed', () =>
      withBench(async bench => {
        await bench.start('a');
        bench.worker.finish('a');
        await bench.pass(1_000);
        assert.equal(bench.reported, ['a finished']);
        assert.is(await bench.stop('a'), 'done');
      }));

    test('does not wait for the owner of another task', () =>
      withBench(async bench => {
        bench.silentOwners.add('a');
        for (const id of ['a', 'b', 'c']) await bench.start(id);
        for (const id of ['a', 'b', 'c']) bench.worker.finish(id);
        await bench.pass(1_000);
        assert.equal(bench.reported, ['b finished', 'c finished']);
      }));
  });

  describe('stop of an earlier epoch', test => {
    test('that races a later start does not end it', () =>
      withBench(async bench => {
        const stopped = bench.stop('a', 1);
        const started = bench.start('a', 2);
        assert.equal([await stopped, await started], ['done', 'done']);
        assert.is(bench.worker.running.get('a')?.epoch, 2);
        assert.is(bench.keeper.free.processors, CAPACITY_PROCESSORS - 1);
      }));

    test('that arrives after the later start is refused', () =>
      withBench(async bench => {
        await bench.start('a', 2);
        assert.is(await bench.stop('a', 1), 'stale-epoch');
        assert.is(bench.worker.running.size, 1);
      }));
  });

  describe('lease of the owner', test => {
    test('that has lapsed ends the task, with its progress', () =>
      withBench(async bench => {
        await bench.start('a');
        await bench.pass(7_500);
        assert.equal(bench.reported, ['a lapsed']);
        assert.is(bench.worker.running.size, 0);
      }));

    test('that has lapsed is not renewed at the worker', () =>
      withBench(async bench => {
        await bench.start('a');
        bench.worker.isReachable = false;
        await bench.pass(7_000);
        bench.worker.isReachable = true;
        bench.worker.renewals.length = 0;
        await bench.pass(2_000);
        assert.equal(bench.worker.renewals, []);
        assert.equal(bench.reported, ['a lapsed']);
      }));

    test('that passed on the way starts nothing', () =>
      withBench(async bench => {
        const kind = await bench.start('a', 1, 1, 0);
        assert.is(kind, 'lease-lapsed');
        assert.equal(bench.worker.starts, []);
      }));
  });

  describe('task that the worker has lost', test => {
    test('is reported as lapsed and leaves its capacity', () =>
      withBench(async bench => {
        await bench.start('a');
        bench.worker.running.clear();
        await bench.pass(2_000);
        assert.equal(bench.reported, ['a lapsed']);
        assert.is(bench.keeper.free.processors, CAPACITY_PROCESSORS);
      }));
  });

  describe('failure domain that is taken out', test => {
    test('has its tasks evicted once each, and starts nothing', () =>
      withBench(async bench => {
        await bench.start('a');
        await bench.start('b');
        bench.setDomainsOut(2, ['kinangop']);
        await bench.pass(3_000);
        assert.equal(bench.reported, ['a evicted', 'b evicted']);
        assert.is(bench.worker.running.size, 0);
        assert.is(await bench.start('c'), 'failure-domain-out');
      }));

    test('and brought back starts again, under a newer epoch', () =>
      withBench(async bench => {
        await bench.start('a');
        bench.setDomainsOut(2, ['kinangop']);
        await bench.pass(2_000);
        bench.setDomainsOut(3, []);
        bench.setDomainsOut(2, ['kinangop']);
        assert.is(await bench.start('a', 1), 'stale-epoch');
        assert.is(await bench.start('a', 2), 'done');
      }));
  });

  describe('last epochs', test => {
    test('of tasks that are gone are dropped', () =>
      withBench(async bench => {
        for (let task = 0; task < 500; task += 1) {
          await bench.start(`task-${task}`);
          await bench.stop(`task-${task}`);
        }
        await bench.pass(40_000);
        assert.is(bench.keeper.fenceCount, 0);
      }));
  });

  describe('any order of events', test => {
    test('never over-commits, runs twice or loses an answer', async () => {
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
      const property = fastCheck.asyncProperty(events, playEvents);
      await fastCheck.assert(property, {seed: SEED, numRuns: 200});
    });
  });
});

interface KeeperEvent {
  readonly what: string;
  readonly task: number;
  readonly processors: number;
}

/** Plays events; whether every promise held after each of them. */
async function playEvents(events: readonly KeeperEvent[]): Promise<boolean> {
  const bench = await new KeeperBench().open();
  let epoch = 0;
  let finished = 0;
  for (const {what, task, processors} of events) {
    const id = `task-${task}`;
    epoch += 1;
    if (what === 'start') await bench.start(id, epoch, processors);
    if (what === 'stop') await bench.stop(id, epoch - 1);
    if (what === 'finish' && bench.worker.running.has(id)) {
      bench.worker.finish(id);
      finished += 1;
    }
    if (what === 'lose-reply') bench.worker.losesNextReply = true;
    if (what === 'reach') bench.worker.isReachable = true;
    if (what === 'renew') bench.renew([id], epoch - 1);
    if (what === 'pass') await bench.pass(1_000);
    const used = [...bench.worker.running.values()];
    const sum = used.reduce(
      (total, one) => total + one.task.resources.processors,
      0,
    );
    const committed = CAPACITY_PROCESSORS - bench.keeper.free.processors;
    if (sum > CAPACITY_PROCESSORS || sum > committed) return false;
  }
  bench.worker.isReachable = true;
  bench.worker.losesNextReply = false;
  await bench.pass(3_000);
  bench.close();
  const told = bench.reported.filter(one => one.endsWith('finished'));
  const isOnce =
    new Set(bench.worker.starts).size === bench.worker.starts.length;
  return isOnce && told.length === finished;
}
