import * as assert from 'uvu/assert';
import {toChicoryspringError} from '@chicoryspring/contracts';
import {MemoryStore} from '@chicoryspring/store/spec/memory_store_fake.js';
import type {MemoryStoreFault} from '@chicoryspring/store/spec/memory_store_fault_types.js';
import {ManualClock, describe} from '@chicoryspring/testing';
import {countedRecord} from '../spec/counted_record.js';
import {ShardFixture} from '../spec/shard_fixture.js';
import {ShardKeys} from '../shard/shard_keys.js';

const CHANGE_TIMEOUT_MILLISECONDS = 5_000;
const STEP_MILLISECONDS = 20;

type FaultKind = MemoryStoreFault['kind'];

/** Two entries on one store; `faults` queues the faults of the next calls. */
function createFixture(maxJournalLength?: number, isOwnerKept = false) {
  const clock = new ManualClock();
  const faults: FaultKind[] = [];
  const store = new MemoryStore(clock, () => ({
    kind: faults.shift() ?? 'none',
    requestMilliseconds: 0,
    replyMilliseconds: 0,
  }));
  const create = (name: string) =>
    new ShardFixture(name, store, clock, 1, maxJournalLength, isOwnerKept);
  const [one, two] = [create('one'), create('two')];
  const run = async <T>(work: Promise<T>): Promise<T> => {
    let isDone = false;
    void work.catch(() => undefined).finally(() => (isDone = true));
    for (let step = 0; step < 1_000 && !isDone; step += 1) {
      await clock.advance(STEP_MILLISECONDS);
    }
    return await work;
  };
  const deadline = () => clock.now() + CHANGE_TIMEOUT_MILLISECONDS;
  return {clock, faults, store, one, two, run, deadline};
}

async function errorKindOf(work: Promise<unknown>): Promise<string> {
  try {
    await work;
    return 'none';
  } catch (thrown) {
    return toChicoryspringError(thrown).kind;
  }
}

function countAt(entry: ShardFixture): number | undefined {
  const record = entry.table.get('a');
  return record?.kind === 'task' ? record.evictions : undefined;
}

describe('shard table', () => {
  describe('change', test => {
    test('whose reply was lost is applied once and confirmed', async () => {
      const {faults, one, run, deadline} = createFixture();
      await run(one.reconcile(['one']));
      faults.push('lost');
      await run(one.increment('a', deadline()));
      assert.is(countAt(one), 1);
    });

    test('applied before the loss of the shard is of unknown outcome', async () => {
      const {faults, one, two, run, deadline} = createFixture(0);
      await run(one.reconcile(['one']));
      faults.push('lost');
      const errorKind = errorKindOf(one.increment('a', deadline()));
      await new Promise(resolve => setImmediate(resolve));
      one.expireLease();
      await run(two.reconcile(['two']));
      await run(two.increment('a', deadline()));
      assert.is(await run(errorKind), 'store-outcome-unknown');
      assert.is(countAt(two), 2);
    });

    test('that another writer overwrites with an odd value blocks no other', async () => {
      const {clock, faults, store, one, run, deadline} = createFixture();
      await run(one.reconcile(['one']));
      faults.push('lost');
      const errorKind = errorKindOf(one.increment('a', deadline()));
      await new Promise(resolve => setImmediate(resolve));
      const key = ShardKeys.journal(0, 1);
      await run(store.transact([], [{kind: 'put', key, value: '[['}]));
      for (let step = 0; step < 100; step += 1)
        await clock.advance(STEP_MILLISECONDS);
      assert.is(one.table.owns('a'), false);
      assert.is(await run(errorKind), 'store-outcome-unknown');
      await run(store.transact([], [{kind: 'delete', key}]));
      await run(one.reconcile(['one']));
      await run(one.increment('b', deadline()));
    });

    test('of a paused owner is fenced after its lease expired', async () => {
      const {one, two, run, deadline} = createFixture();
      await run(one.reconcile(['one']));
      one.expireLease();
      await run(two.reconcile(['two']));
      const errorKind = await run(errorKindOf(one.increment('a', deadline())));
      assert.is(errorKind, 'shard-unowned');
      assert.is(one.table.owns('a'), false);
      assert.is(countAt(two), undefined);
    });

    test('computed under an earlier ownership is rejected', async () => {
      const {clock, store, one, two, run, deadline} = createFixture();
      await run(one.reconcile(['one']));
      store.isDown = true;
      const errorKind = errorKindOf(one.increment('a', deadline()));
      // The next attempt comes long after the shard was lost and reacquired.
      for (let step = 0; step < 40; step += 1) {
        await clock.advance(STEP_MILLISECONDS);
      }
      store.isDown = false;
      one.expireLease();
      one.noticeExpiry();
      await run(two.reconcile(['two']));
      await run(two.increment('a', deadline()));
      two.expireLease();
      await run(one.reconcile(['one']));
      assert.is(one.table.owns('a'), true);
      assert.is(await run(errorKind), 'shard-unowned');
      assert.is(countAt(one), 1);
    });

    test('whose deadline passes in an outage is never applied', async () => {
      const {store, one, run, deadline} = createFixture();
      await run(one.reconcile(['one']));
      store.isDown = true;
      const errorKind = await run(errorKindOf(one.increment('a', deadline())));
      assert.is(errorKind, 'store-unavailable');
      store.isDown = false;
      await run(one.increment('b', deadline()));
      assert.is(countAt(one), undefined);
    });

    test('waits for an earlier uncertain change of the same key', async () => {
      const {faults, one, run, deadline, clock} = createFixture();
      await run(one.reconcile(['one']));
      faults.push(...Array<FaultKind>(8).fill('dropped'));
      const first = errorKindOf(one.increment('a', clock.now() + 200));
      assert.is(await run(first), 'store-outcome-unknown');
      await run(one.increment('a', deadline()));
      assert.is(countAt(one), 2);
    });

    test('of many keys is batched into few writes', async () => {
      const {store, one, run, deadline} = createFixture();
      await run(one.reconcile(['one']));
      const before = store.calls.get('transact') ?? 0;
      const keys = Array.from({length: 1_000}, (_, key) => `key-${key}`);
      await run(Promise.all(keys.map(key => one.increment(key, deadline()))));
      const writes = (store.calls.get('transact') ?? 0) - before;
      assert.ok(writes <= 5, `${writes} writes`);
    });
  });

  describe('ownership', test => {
    test('is acquired after the reply to an acquisition was lost', async () => {
      const {faults, one, run} = createFixture();
      faults.push('none', 'lost');
      await run(one.reconcile(['one']).catch(() => undefined));
      assert.is(one.table.owns('a'), false);
      await run(one.reconcile(['one']));
      assert.is(one.table.owns('a'), true);
    });

    test('is released after an earlier release failed', async () => {
      const {faults, store, one, run} = createFixture();
      await run(one.reconcile(['one']));
      faults.push('refused');
      await run(one.reconcile(['two']).catch(() => undefined));
      assert.is(store.peek(ShardKeys.owners).length, 1);
      await run(one.reconcile(['two']));
      assert.is(store.peek(ShardKeys.owners).length, 0);
    });

    test('is released after the changes in flight', async () => {
      const {one, two, run, deadline} = createFixture();
      await run(one.reconcile(['one']));
      const change = one.increment('a', deadline());
      await run(one.table.releaseAll());
      await change;
      await run(two.reconcile(['two']));
      assert.is(countAt(two), 1);
    });

    test('stays with its owner while that is a candidate', async () => {
      const {one, two, run} = createFixture(undefined, true);
      await run(two.reconcile(['two']));
      await run(two.reconcile(['one', 'two']));
      await run(one.reconcile(['one', 'two']));
      assert.is(two.table.owns('a'), true);
    });

    test('moves from a kept owner that is no candidate any more', async () => {
      const {one, two, run, deadline} = createFixture(undefined, true);
      await run(two.reconcile(['two']));
      await run(two.increment('a', deadline()));
      await run(two.reconcile(['one', 'two'], ['one']));
      await run(one.reconcile(['one', 'two'], ['one']));
      assert.is(two.table.owns('a'), false);
      assert.is(countAt(one), 1);
    });
  });

  describe('size', test => {
    test('a snapshot and its journal restore the same records', async () => {
      const {one, two, run, deadline} = createFixture(2);
      await run(one.reconcile(['one']));
      for (let count = 0; count < 7; count += 1) {
        await run(one.increment('a', deadline()));
      }
      one.expireLease();
      await run(two.reconcile(['two']));
      assert.is(countAt(two), 7);
    });

    test('a full shard rejects new records and changes old ones', async () => {
      const {one, run, deadline} = createFixture();
      await run(one.reconcile(['one']));
      const large = 'x'.repeat(150_000);
      const add = (key: string) =>
        errorKindOf(
          one.table.update(
            key,
            () => ({...countedRecord(key, 0), answer: large}),
            deadline(),
          ),
        );
      const errorKinds: string[] = [];
      for (const key of ['a', 'b', 'c', 'd', 'e']) {
        errorKinds.push(await run(add(key)));
      }
      assert.equal(errorKinds, ['none', 'none', 'none', 'none', 'overloaded']);
      await run(one.increment('a', deadline()));
    });

    test('a record beyond the limit is rejected', async () => {
      const {one, run, deadline} = createFixture();
      await run(one.reconcile(['one']));
      const record = {...countedRecord('a', 0), answer: 'x'.repeat(250_000)};
      const change = one.table.update('a', () => record, deadline());
      assert.is(await run(errorKindOf(change)), 'body-too-large');
    });

    test('records are deleted after their retention', async () => {
      const {clock, one, two, run, deadline} = createFixture();
      await run(one.reconcile(['one']));
      const retentionDeadline = clock.now() + 60_000;
      const terminal = {...countedRecord('a', 1), retentionDeadline};
      await run(one.table.update('a', () => terminal, deadline()));
      await run(one.increment('b', deadline()));
      for (let second = 0; second < 100; second += 1)
        await clock.advance(1_000);
      one.expireLease();
      await run(two.reconcile(['two']));
      assert.is(countAt(two), undefined);
      assert.ok(two.table.get('b'));
    });
  });
});
