import * as assert from 'uvu/assert';
import {
  ChicoryspringError,
  toChicoryspringError,
} from '@chicoryspring/contracts';
import {ShardKeys} from '@chicoryspring/shards';
import {MemoryStore} from '@chicoryspring/store/spec/memory_store_fake.js';
import {ManualClock, OddJsonTexts, describe} from '@chicoryspring/testing';
import {ShardAgentList} from './shard_agent_list.js';

const SHARD = 0;
const LATE_MILLISECONDS = 1_000;

/** A list without any agent is one that can be read. */
function isNoList({what}: {readonly what: string}): boolean {
  return what !== 'a list';
}

async function open() {
  const clock = new ManualClock();
  const store = new MemoryStore(clock);
  /** Acquires the shard; the list of its new owner is not read yet. */
  const acquire = async (owner: string) => {
    const put = {kind: 'put' as const, key: ShardKeys.owner(SHARD)};
    const {revision} = await store.transact([], [{...put, value: owner}]);
    return new ShardAgentList(store, clock, SHARD, revision, owner);
  };
  const list = await acquire('one');
  await list.synchronize(new Set(['a', 'b']));
  return {clock, store, acquire, list};
}

describe('list of the agents of a shard', () => {
  describe('of a new owner', test => {
    test('keeps the agents of earlier owners until it is told to drop them', async () => {
      const {acquire} = await open();
      const next = await acquire('two');
      assert.is(next.isLoaded, false);
      await next.synchronize(new Set(['c']));
      assert.equal(next.inheritedAgents, ['a', 'b']);
      assert.ok(['a', 'b', 'c'].every(name => next.has(name)));
      next.dropInherited();
      await next.synchronize(new Set(['c']));
      const later = await acquire('three');
      await later.synchronize(new Set());
      assert.equal(later.inheritedAgents, ['c']);
    });

    test('names the owners before it until their runs are known', async () => {
      const {acquire} = await open();
      const second = await acquire('two');
      assert.is(second.namesOwner, false);
      await second.synchronize(new Set(['a']));
      assert.equal(second.earlierOwners, ['one']);
      assert.is(second.namesOwner, true);
      const third = await acquire('three');
      await third.synchronize(new Set(['a']));
      assert.equal(third.earlierOwners, ['one', 'two']);
      third.dropInherited();
      await third.synchronize(new Set(['a']));
      const fourth = await acquire('four');
      await fourth.synchronize(new Set(['a']));
      assert.equal(fourth.earlierOwners, ['three']);
      assert.equal(fourth.inheritedAgents, ['a']);
    });

    test('is not changed by an earlier owner that has not noticed its loss', async () => {
      const {acquire, list} = await open();
      const next = await acquire('two');
      assert.is(await list.synchronize(new Set()), false);
      await next.synchronize(new Set());
      assert.equal(next.inheritedAgents, ['a', 'b']);
    });
  });

  describe('that can not be read', test => {
    for (const {what, text} of OddJsonTexts.whole.filter(isNoList)) {
      test(`is not loaded, nor overwritten: ${what}`, async () => {
        const {store, acquire} = await open();
        const key = ShardKeys.agents(SHARD);
        await store.transact([], [{kind: 'put', key, value: text}]);
        const next = await acquire('two');
        const kind = await next.synchronize(new Set(['c'])).then(
          () => 'none',
          thrown => toChicoryspringError(thrown).kind,
        );
        assert.is(kind, 'record-unreadable');
        assert.is(next.isLoaded, false);
        const {values} = await store.readPrefix(key);
        assert.is(values[0]?.value, text);
      });
    }
  });

  describe('while a write is in progress', test => {
    test('lacks the agents that it removes and those that it adds', async () => {
      const {list} = await open();
      list.dropInherited();
      const writing = list.synchronize(new Set(['b', 'c']));
      const during = ['a', 'b', 'c'].filter(name => list.has(name));
      await writing;
      const after = ['a', 'b', 'c'].filter(name => list.has(name));
      assert.equal([during, after], [['b'], ['b', 'c']]);
    });
  });

  describe('after a write without a reply, which takes effect later', test => {
    test('keeps the agents that it has again', async () => {
      const {clock, store, acquire, list} = await open();
      list.dropInherited();
      const transact = store.transact.bind(store);
      store.transact = async (...call) => {
        store.transact = transact;
        clock.schedule(clock.now() + LATE_MILLISECONDS, () =>
          transact(...call),
        );
        throw new ChicoryspringError('store-outcome-unknown', 'no reply');
      };
      await list.synchronize(new Set(['a'])).catch(() => undefined);
      await list.synchronize(new Set(['a', 'b']));
      assert.ok(list.has('b'));
      await clock.advance(LATE_MILLISECONDS);
      const next = await acquire('two');
      await next.synchronize(new Set());
      assert.equal(next.inheritedAgents, ['a', 'b']);
    });
  });

  describe('with a silent agent', test => {
    test('tells the next owner how long its runs may still go on', async () => {
      const {clock, acquire, list} = await open();
      list.markSilent('a', clock.now() + 4 * LATE_MILLISECONDS);
      await list.synchronize(new Set(['a', 'b']));
      assert.equal([list.has('a'), list.mayPermit('a')], [false, false]);
      await clock.advance(2 * LATE_MILLISECONDS);
      await list.synchronize(new Set(['a', 'b']));
      const next = await acquire('two');
      await next.synchronize(new Set());
      assert.equal(next.inheritedAgents, ['a', 'b']);
      await clock.advance(2.1 * LATE_MILLISECONDS);
      assert.equal(next.inheritedAgents, ['b']);
      await next.synchronize(new Set());
      const later = await acquire('three');
      await later.synchronize(new Set());
      assert.equal(later.inheritedAgents, ['b']);
    });

    test('permits it again only once the list has it without that time', async () => {
      const {clock, acquire, list} = await open();
      list.markSilent('a', clock.now() + 4 * LATE_MILLISECONDS);
      await list.synchronize(new Set(['a', 'b']));
      list.unmarkSilent('a');
      const writing = list.synchronize(new Set(['a', 'b']));
      assert.is(list.mayPermit('a'), false);
      await writing;
      assert.equal([list.has('a'), list.mayPermit('a')], [true, true]);
      const next = await acquire('two');
      await next.synchronize(new Set());
      await clock.advance(5 * LATE_MILLISECONDS);
      assert.equal(next.inheritedAgents, ['a', 'b']);
    });

    test('keeps its time if it comes back and gets no permission', async () => {
      const {clock, list} = await open();
      const expiry = clock.now() + 4 * LATE_MILLISECONDS;
      for (const name of ['a', 'b']) {
        list.markSilent(name, expiry);
        list.unmarkSilent(name);
      }
      list.recordPermission('a');
      for (const name of ['a', 'b']) list.markSilent(name, 2 * expiry);
      await clock.advance(5 * LATE_MILLISECONDS);
      await list.synchronize(new Set(['a', 'b']));
      assert.equal([list.mayPermit('a'), list.mayPermit('b')], [false, true]);
    });

    test('permits nobody before it is read', async () => {
      const {acquire} = await open();
      const next = await acquire('two');
      assert.is(next.mayPermit('a'), false);
    });
  });

  describe('without times, as earlier versions write it', test => {
    test('has agents for which the next owner waits as long as it can', async () => {
      const {clock, store, acquire} = await open();
      const value = JSON.stringify(['a', '-1\ta', 'x\tc']);
      const key = ShardKeys.agents(SHARD);
      await store.transact([], [{kind: 'put', key, value}]);
      const next = await acquire('two');
      await next.synchronize(new Set());
      await clock.advance(20 * LATE_MILLISECONDS);
      assert.equal(next.inheritedAgents, ['a', 'c']);
    });
  });
});
