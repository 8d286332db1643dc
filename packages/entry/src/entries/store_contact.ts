import type {Clock} from '@chicoryspring/contracts';
import type {ShardTable} from '@chicoryspring/shards';
import type {LiveState} from '../live_state/live_state.js';
import type {EntryMembership} from '../membership/entry_membership.js';

interface StoreContactParts {
  readonly clock: Clock;
  readonly live: Pick<LiveState, 'contactMilliseconds'>;
  readonly membership: Pick<EntryMembership, 'isLeaseHeld'>;
  readonly table: Pick<ShardTable, 'ownerships'>;
}

/** What this entry says of its contact with the store to owners without a lease. */
export class StoreContact {
  private deniedAt = -Infinity;

  constructor(private readonly parts: StoreContactParts) {}

  /**
   * Local instant at which this entry last denied contact, so that an owner may have
   * renewed in a grace period; `-Infinity` if it never did.
   */
  get lastDenialAt(): number {
    return this.deniedAt;
  }

  /** Answers an owner that asks whether this entry reaches the store. */
  answer() {
    const {clock, live, membership, table} = this.parts;
    // The lease may outlast the last answer of the store.
    const hasContact = live.contactMilliseconds > 0 || membership.isLeaseHeld;
    if (!hasContact) this.deniedAt = clock.now();
    return {hasContact, ownedShards: table.ownerships};
  }
}
