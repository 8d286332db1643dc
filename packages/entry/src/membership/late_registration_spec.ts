import * as assert from 'uvu/assert';
import {NoOpStateLog} from '@chicoryspring/observability';
import {ShardTable} from '@chicoryspring/shards';
import {MemoryStore} from '@chicoryspring/store/spec/memory_store_fake.js';
import {ManualClock, describe} from '@chicoryspring/testing';
import {LiveState} from '../live_state/live_state.js';
import {EntryMembership} from './entry_membership.js';
import {OutageGracePeriod} from './outage_grace_period.js';

const STEP_MILLISECONDS = 50;
const SHARDS = 4;
/** Time for which a previous owner may renew after it has lost its shards. */
const RENEWAL_MILLISECONDS = 62_000;
/** Time after which an entry no longer waits for a previous owner's grace. */
const CERTAIN_MILLISECONDS = 71_000;
/** Time in which a lease expires and another entry registers. */
const TAKEOVER_MILLISECONDS = 5_000;
const NONE = {
  kind: 'none' as const,
  requestMilliseconds: 0,
  replyMilliseconds: 0,
};

/** Entries with one store, whose memberships and grace periods are wired. */
class Fleet {
  readonly clock = new ManualClock();
  private readonly store = new MemoryStore(this.clock, () => NONE);

  start(name: string, linkUrl: string) {
    const {clock, store} = this;
    const timeOfDay = () => clock.now();
    const stopping = new AbortController();
    const live: LiveState = new LiveState(
      store,
      clock,
      () => undefined,
      () => membership.notify(),
      undefined,
      undefined,
      timeOfDay,
    );
    const table = new ShardTable(store, clock, {
      entryName: name,
      shardCount: SHARDS,
      onGained: () => undefined,
      onLost: () => undefined,
    });
    const membership: EntryMembership = new EntryMembership(
      store,
      clock,
      {name, linkUrl},
      live,
      table,
      new NoOpStateLog(),
      timeOfDay,
    );
    const gracePeriod = new OutageGracePeriod({
      clock,
      links: () => [],
      ownedShards: () => [],
      entriesKnownUntil: () => live.confirmedUntil,
      leaseDeadline: () => membership.leaseDeadline,
      contactMilliseconds: () => live.contactMilliseconds,
      timeOfDay,
    });
    void live.run(stopping.signal);
    void membership.run(stopping.signal);
    return {
      table,
      kill: () => stopping.abort(),
      /** Time for which a previous owner may still renew, as it counts. */
      waits: () =>
        gracePeriod.ownership(membership).previousOwnerRenewalMilliseconds,
    };
  }

  async advance(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
      await this.clock.advance(STEP_MILLISECONDS);
    }
  }
}

describe('an entry that reads the store long before it is registered', () => {
  describe('after the entry of its name is cut off', test => {
    test('waits for the grace period of that one, which does not know it', async () => {
      const fleet = new Fleet();
      const first = fleet.start('one', 'ws://first');
      await fleet.advance(TAKEOVER_MILLISECONDS);
      const second = fleet.start('one', 'ws://second');
      await fleet.advance(CERTAIN_MILLISECONDS);
      assert.is(second.table.ownedShards.length, 0);
      first.kill();
      await fleet.advance(TAKEOVER_MILLISECONDS);
      assert.is(second.table.ownedShards.length, SHARDS);
      assert.is(second.waits(), RENEWAL_MILLISECONDS);
      second.kill();
    });
  });

  describe('that no other entry uses the name of', test => {
    test('waits until it has been registered for longer than that', async () => {
      const fleet = new Fleet();
      const entry = fleet.start('one', 'ws://first');
      await fleet.advance(CERTAIN_MILLISECONDS - TAKEOVER_MILLISECONDS);
      assert.is(entry.waits(), RENEWAL_MILLISECONDS);
      await fleet.advance(TAKEOVER_MILLISECONDS);
      assert.is(entry.waits(), 0);
      entry.kill();
    });
  });
});
