import type {Clock, EntryMember} from '@chicoryspring/contracts';
import type {StateLog} from '@chicoryspring/observability';
import type {ShardTable} from '@chicoryspring/shards';
import type {Store} from '@chicoryspring/store';
import {EntryIntroductions} from '../entries/entry_introductions.js';
import {StoreContact} from '../entries/store_contact.js';
import {GraceBlockCollector} from '../grace_blocks/grace_block_collector.js';
import {OwnGraceBlocks} from '../grace_blocks/own_grace_blocks.js';
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
  readonly peers: Pick<EntryPeers, 'links' | 'linksToAll'>;
  readonly log: StateLog;
  /** Earlier owners that are waited for and may not know this entry. */
  readonly unawareOwners: () => readonly string[];
  /** A grace period without the lease has begun. */
  readonly onGraceBegin: () => void;
  /** The time of day in milliseconds since 1970; that of the system if absent. */
  readonly timeOfDay?: () => number;
}

/**
 * What an entry may do as an owner of shards: by its lease, in a grace period
 * without it, and as long as earlier owners may go on. It also answers what other
 * owners ask of it.
 */
export class EntryOwnership {
  readonly membership: EntryMembership;
  /** The other entries that know this one. */
  readonly introductions: EntryIntroductions;
  readonly storeContact: StoreContact;
  /** The grace periods of other owners that this entry blocks. */
  readonly graceBlocks: OwnGraceBlocks;
  private readonly gracePeriod: OutageGracePeriod;
  private readonly blockCollector: GraceBlockCollector;
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
    this.storeContact = new StoreContact({clock, live, membership, table});
    const registration = () => membership.registration;
    const entryName = member.name;
    this.graceBlocks = new OwnGraceBlocks({
      entryName,
      registration,
      introductions,
      live,
      storeContact: this.storeContact,
    });
    this.blockCollector = new GraceBlockCollector({
      clock,
      links: () => peers.links,
      owners: parts.unawareOwners,
    });
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
      entryName,
      registration,
      introducedAt: (...entry) => introductions.introducedAt(...entry),
      graceBlocksOf: owner => this.blockCollector.blocksOf(owner),
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
    void this.blockCollector.run(signal);
  }
}
