import * as assert from 'uvu/assert';
import {NoOpStateLog} from '@chicoryspring/observability';
import {ShardTable} from '@chicoryspring/shards';
import {MemoryStore} from '@chicoryspring/store/spec/memory_store_fake.js';
import type {MemoryStoreFault} from '@chicoryspring/store/spec/memory_store_fault_types.js';
import {ManualClock, describe} from '@chicoryspring/testing';
import {LiveState} from '../live_state/live_state.js';
import {EntryMembership} from './entry_membership.js';

const STEP_MILLISECONDS = 20;
const SHARDS = 4;

/** Several entries in one process, with one store whose calls can be slow. */
class MembershipFixture {
  readonly clock = new ManualClock();
  readonly store: MemoryStore;
  /** Time by which the time of day is ahead of the steady clock. */
  suspendedMilliseconds = 0;
  fault: MemoryStoreFault = {
    kind: 'none',
    requestMilliseconds: 0,
    replyMilliseconds: 0,
  };

  constructor() {
    this.store = new MemoryStore(this.clock, () => this.fault);
  }

  start(name: string, linkUrl = `ws://${name}`) {
    const {clock, store} = this;
    const stopping = new AbortController();
    const live = new LiveState(
      store,
      clock,
      () => undefined,
      () => membership.notify(),
      undefined,
      undefined,
      () => this.timeOfDay,
    );
    const table = new ShardTable(store, clock, {
      entryName: name,
      shardCount: SHARDS,
      onGained: () => undefined,
      onLost: () => undefined,
    });
    const member = {name, linkUrl};
    const membership = new EntryMembership(
      store,
      clock,
      member,
      live,
      table,
      new NoOpStateLog(),
      () => this.timeOfDay,
    );
    void live.run(stopping.signal);
    void membership.run(stopping.signal);
    return {live, table, membership, kill: () => stopping.abort()};
  }

  /** Writes the entry's value without a lease, as another writer does. */
  async write(name: string, value: string): Promise<void> {
    const key = LiveState.entryKey(name);
    await this.store.transact([], [{kind: 'put', key, value}]);
  }

  private get timeOfDay(): number {
    return this.clock.now() + this.suspendedMilliseconds;
  }

  async advance(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
      await this.clock.advance(STEP_MILLISECONDS);
    }
  }
}

describe('entry membership', () => {
  describe('lease', test => {
    test('is renewed while acquiring shards is slow', async () => {
      const fixture = new MembershipFixture();
      fixture.fault = {...fixture.fault, requestMilliseconds: 600};
      const {membership, table} = fixture.start('one');
      await fixture.advance(4_000);
      let heldSteps = 0;
      for (let step = 0; step < 500; step += 1) {
        await fixture.advance(STEP_MILLISECONDS);
        heldSteps += Number(membership.isLeaseHeld);
      }
      assert.is(heldSteps, 500);
      assert.is(table.ownedShards.length, SHARDS);
    });

    test('that expired ends the ownership until it is granted again', async () => {
      const fixture = new MembershipFixture();
      const {membership, table} = fixture.start('one');
      await fixture.advance(1_000);
      fixture.store.isDown = true;
      await fixture.advance(4_000);
      assert.is(membership.isLeaseHeld, false);
      fixture.store.isDown = false;
      await fixture.advance(4_000);
      assert.is(membership.isLeaseHeld, true);
      assert.is(table.ownedShards.length, SHARDS);
    });

    test('is not taken for held after the machine was suspended', async () => {
      const fixture = new MembershipFixture();
      const {membership} = fixture.start('one');
      await fixture.advance(1_000);
      fixture.suspendedMilliseconds = 3_000;
      assert.is(membership.isLeaseHeld, false);
      await fixture.advance(1_000);
      assert.is(membership.isLeaseHeld, true, 'the store says that it is');
    });

    test('of a name in use is retried until the name is free', async () => {
      const fixture = new MembershipFixture();
      const first = fixture.start('one');
      await fixture.advance(1_000);
      const second = fixture.start('one', 'ws://elsewhere');
      await fixture.advance(5_000);
      assert.is(second.membership.isLeaseHeld, false);
      first.kill();
      await fixture.advance(6_000);
      assert.is(second.membership.isLeaseHeld, true);
      assert.is(second.table.ownedShards.length, SHARDS);
    });

    test('of a previous process at the same address is replaced', async () => {
      const fixture = new MembershipFixture();
      const first = fixture.start('one');
      await fixture.advance(1_000);
      first.kill();
      const second = fixture.start('one');
      await fixture.advance(1_000);
      assert.is(second.membership.isLeaseHeld, true);
      assert.is(second.table.ownedShards.length, SHARDS);
    });

    test('of a name whose key holds an unreadable value is granted', async () => {
      const fixture = new MembershipFixture();
      await fixture.write('one', '{"name":');
      const {membership, table} = fixture.start('one');
      await fixture.advance(1_000);
      assert.is(membership.isLeaseHeld, true);
      assert.is(table.ownedShards.length, SHARDS);
    });

    test('lasts when another writer makes its entry unreadable', async () => {
      const fixture = new MembershipFixture();
      const {membership, table, live} = fixture.start('one');
      await fixture.advance(1_000);
      await fixture.write('one', '[[[]]]');
      await fixture.advance(2_000);
      assert.is(membership.isLeaseHeld, true);
      assert.equal(
        live.entries.map(one => one.name),
        ['one'],
      );
      assert.is(table.ownedShards.length, SHARDS);
    });

    test('is registered although replies were lost', async () => {
      const fixture = new MembershipFixture();
      fixture.fault = {...fixture.fault, kind: 'lost'};
      const {membership} = fixture.start('one');
      await fixture.advance(1_000);
      fixture.fault = {...fixture.fault, kind: 'none'};
      await fixture.advance(2_000);
      assert.is(membership.isLeaseHeld, true);
    });
  });

  describe('shards', test => {
    test('are distributed, and acquired from an entry that died', async () => {
      const fixture = new MembershipFixture();
      const first = fixture.start('one');
      const second = fixture.start('two');
      await fixture.advance(2_000);
      const shared =
        first.table.ownedShards.length + second.table.ownedShards.length;
      assert.is(shared, SHARDS);
      first.kill();
      await fixture.advance(4_000);
      assert.is(second.table.ownedShards.length, SHARDS);
    });

    test('of an entry that leaves stay released', async () => {
      const fixture = new MembershipFixture();
      const first = fixture.start('one');
      const second = fixture.start('two');
      await fixture.advance(2_000);
      void first.membership.leave();
      await fixture.advance(1_000);
      assert.is(first.table.ownedShards.length, 0);
      assert.is(second.table.ownedShards.length, SHARDS);
    });
  });

  describe('live state', test => {
    test('follows the store although the watch reports nothing', async () => {
      const fixture = new MembershipFixture();
      const first = fixture.start('one');
      await fixture.advance(1_000);
      fixture.store.isWatchSilent = true;
      fixture.start('two');
      await fixture.advance(2_000);
      assert.equal([...first.live.fleet.entries].sort(), ['one', 'two']);
      assert.ok(first.live.stalledWatchCount > 0);
    });

    test('ends no watch that reports changes', async () => {
      const fixture = new MembershipFixture();
      const {live} = fixture.start('one');
      fixture.start('two');
      await fixture.advance(5_000);
      assert.is(live.stalledWatchCount, 0);
    });

    test('grants no start permission while the store is unreachable', async () => {
      const fixture = new MembershipFixture();
      const {live} = fixture.start('one');
      await fixture.advance(1_000);
      assert.ok(live.remainingFreshMilliseconds > 0);
      fixture.store.isDown = true;
      await fixture.advance(1_600);
      assert.is(live.remainingFreshMilliseconds, 0);
    });

    test('grants no start permission after the machine was suspended', async () => {
      const fixture = new MembershipFixture();
      const {live} = fixture.start('one');
      await fixture.advance(1_000);
      fixture.suspendedMilliseconds = 2_000;
      assert.is(live.remainingFreshMilliseconds, 0);
      assert.is(live.contactMilliseconds, 0);
      await fixture.advance(1_000);
      assert.ok(live.remainingFreshMilliseconds > 0);
    });

    test('counts its contact with the store from after a suspension', async () => {
      const fixture = new MembershipFixture();
      const {live} = fixture.start('one');
      await fixture.advance(5_000);
      fixture.suspendedMilliseconds = 2_000;
      await fixture.advance(1_000);
      assert.ok(live.contactMilliseconds > 0);
      assert.ok(live.contactMilliseconds <= 1_000);
    });
  });
});
