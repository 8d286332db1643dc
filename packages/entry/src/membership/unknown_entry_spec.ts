import * as assert from 'uvu/assert';
import {ChicoryspringError} from '@chicoryspring/contracts';
import {NoOpStateLog} from '@chicoryspring/observability';
import {ShardTable} from '@chicoryspring/shards';
import type {Store, StoreRange} from '@chicoryspring/store';
import {MemoryStore} from '@chicoryspring/store/spec/memory_store_fake.js';
import {ManualClock, describe} from '@chicoryspring/testing';
import {LiveState} from '../live_state/live_state.js';
import {EntryMembership} from './entry_membership.js';
import {OutageGracePeriod} from './outage_grace_period.js';

const STEP_MILLISECONDS = 50;
const SHARDS = 4;
const START_MILLISECONDS = 2_000;
/** Time in which the store lease expires and the grace period begins. */
const EXPIRY_MILLISECONDS = 5_000;
const NONE = {
  kind: 'none' as const,
  requestMilliseconds: 0,
  replyMilliseconds: 0,
};
/** Time from the last read to the loss of the lease, and what holds then. */
const CASES = [
  {withoutReads: 0, mayRenew: true},
  {withoutReads: 40_000, mayRenew: true},
  {withoutReads: 65_000, mayRenew: false},
];

/** A store that can lose its larger answers, so that only writes succeed. */
class StoreWithoutReads extends MemoryStore implements Store {
  losesReads = false;

  override async readPrefix(prefix: string): Promise<StoreRange> {
    if (!this.losesReads) return await super.readPrefix(prefix);
    throw new ChicoryspringError('store-unavailable', 'the read was lost');
  }
}

/** An entry that knows no other one. */
class LonelyEntry {
  readonly clock = new ManualClock();
  readonly store = new StoreWithoutReads(this.clock, () => NONE);
  private readonly stopping = new AbortController();
  private readonly live: LiveState;
  private readonly membership: EntryMembership;
  private readonly gracePeriod: OutageGracePeriod;

  constructor() {
    const {clock, store} = this;
    const timeOfDay = () => clock.now();
    const table = new ShardTable(store, clock, {
      entryName: 'one',
      shardCount: SHARDS,
      onGained: () => undefined,
      onLost: () => undefined,
    });
    const live = new LiveState(
      store,
      clock,
      () => undefined,
      () => this.membership.notify(),
      undefined,
      undefined,
      timeOfDay,
    );
    this.live = live;
    this.membership = new EntryMembership(
      store,
      clock,
      {name: 'one', linkUrl: 'ws://one'},
      live,
      table,
      new NoOpStateLog(),
      timeOfDay,
    );
    this.gracePeriod = new OutageGracePeriod({
      clock,
      links: () => [],
      ownedShards: () => [],
      entriesKnownUntil: () => live.confirmedUntil,
      leaseDeadline: () => this.membership.leaseDeadline,
      contactMilliseconds: () => live.contactMilliseconds,
      timeOfDay,
    });
  }

  start(): void {
    const {signal} = this.stopping;
    void this.live.run(signal);
    void this.membership.run(signal);
    void this.gracePeriod.run(signal);
  }

  stop(): void {
    this.stopping.abort();
  }

  get ownership() {
    return this.gracePeriod.ownership(this.membership);
  }

  async advance(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
      await this.clock.advance(STEP_MILLISECONDS);
    }
  }
}

describe('an entry that renews its lease but cannot read which entries there are', () => {
  describe('and then loses its lease', test => {
    for (const {withoutReads, mayRenew} of CASES) {
      test(`${withoutReads} ms later, goes on without it: ${mayRenew}`, async () => {
        const entry = new LonelyEntry();
        entry.start();
        await entry.advance(START_MILLISECONDS);
        entry.store.losesReads = true;
        entry.store.isWatchSilent = true;
        await entry.advance(withoutReads);
        assert.is(entry.ownership.isHeld, true);
        entry.store.isDown = true;
        await entry.advance(EXPIRY_MILLISECONDS);
        const {isHeld, mayRenew: renews} = entry.ownership;
        entry.stop();
        assert.equal({isHeld, renews}, {isHeld: false, renews: mayRenew});
      });
    }
  });
});
