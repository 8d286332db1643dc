import type {Clock, EntryMember} from '@chicoryspring/contracts';
import type {StateLog} from '@chicoryspring/observability';
import type {ShardTable} from '@chicoryspring/shards';
import type {Store} from '@chicoryspring/store';
import {EntryIntroductions} from '../entries/entry_introductions.js';
import type {EntryPeers} from '../entries/entry_peers.js';
import type {LiveState} from '../live_state/live_state.js';
import type {Ownership} from '../tasks/ownership_types.js';
import {EarlierOwners} from './earlier_owners.js';
import {EntryMembership} from './entry_membership.js';
import {OutageGracePeriod} from './outage_grace_period.js';

interface EntryOwnershipParts {
  /** This entry as other processes reach it. */
  readonly member: EntryMember;
  readonly store: Store;
  readonly clock: Clock;
  readonly live: LiveState;
  readonly table: ShardTable;
  readonly peers: Pick<EntryPeers, 'linksToAll'>;
  readonly log: StateLog;
  /** A grace period without the lease has begun. */
  readonly onGraceBegin: () => void;
  /** The time of day in milliseconds since 1970; that of the system if absent. */
  readonly timeOfDay?: () => number;
}

/**
 * What an entry may do as an owner of shards: by its lease, in a grace period
 * without it, and as long as earlier owners may go on.
 */
export class EntryOwnership {
  readonly membership: EntryMembership;
  /** The other entries that know this one. */
  readonly introductions: EntryIntroductions;
  private readonly gracePeriod: OutageGracePeriod;
  /** How long the owners of shards before this entry may go on. */
  readonly earlierOwners: EarlierOwners;

  constructor(parts: EntryOwnershipParts) {
    const {member, store, clock, live, table, peers, log, timeOfDay} = parts;
    this.introductions = new EntryIntroductions(clock);
    this.membership = new EntryMembership(
      store,
      clock,
      member,
      live,
      table,
      log,
      timeOfDay,
    );
    const {membership, introductions} = this;
    this.gracePeriod = new OutageGracePeriod({
      clock,
      links: () => peers.linksToAll,
      ownedShards: () => table.ownerships,
      leaseDeadline: () => membership.leaseDeadline,
      entriesKnownUntil: () => live.confirmedUntil,
      contactMilliseconds: () => live.contactMilliseconds,
      onBegin: parts.onGraceBegin,
      timeOfDay,
    });
    this.earlierOwners = new EarlierOwners({
      entryName: member.name,
      registration: () => membership.registration,
      introducedAt: (...entry) => introductions.introducedAt(...entry),
    });
  }

  /** What this entry may do now. */
  get current(): Ownership {
    return this.gracePeriod.ownership(this.membership);
  }

  /** Starts the background loops, which run until the signal aborts. */
  run(signal: AbortSignal): void {
    void this.membership.run(signal);
    void this.gracePeriod.run(signal);
  }
}
