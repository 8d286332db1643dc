import {LeaseDeadline, type Clock} from '@chicoryspring/contracts';
import {storeContactMethod, type Link} from '@chicoryspring/links';
import type {Ownership} from '../tasks/ownership_types.js';
import {KNOWN_TO_ALL_MILLISECONDS} from './known_to_all_milliseconds.js';
import {LONGEST_RENEWAL_MILLISECONDS} from './longest_renewal_milliseconds.js';
import {OUTAGE_GRACE_MILLISECONDS} from './outage_grace_milliseconds.js';

/** Time for which the answers of the other entries are valid. */
const ANSWER_VALIDITY_MILLISECONDS = 1_500;
const ROUND_INTERVAL_MILLISECONDS = 250;
const CALL_TIMEOUT_MILLISECONDS = 400;

/** A shard that an entry owns as far as it knows. */
interface OwnedShardEpoch {
  readonly shard: number;
  readonly epoch: number;
}

/** The lease under which an entry is registered. */
interface StoreLeaseState {
  readonly isLeaseHeld: boolean;
  /** Time for which the entry has been registered without a break. */
  readonly registeredMilliseconds: number;
  /** Local instant at which its last granted renewal was sent. */
  readonly leaseRenewedAt: number;
}

interface OutageGracePeriodParts {
  readonly clock: Clock;
  /** Links to all other entries; undefined when one is not linked. */
  readonly links: () => readonly Link[] | undefined;
  /** The shards that this entry owns as far as it knows. */
  readonly ownedShards: () => readonly OwnedShardEpoch[];
  /** Local instant until which the store lease is certainly held. */
  readonly leaseDeadline: () => number;
  /** Local instant until which the last read of the entries counts. */
  readonly entriesKnownUntil: () => number;
  /** Time of unbroken contact with the store, in milliseconds. */
  readonly contactMilliseconds: () => number;
  readonly timeOfDay?: (() => number) | undefined;
  /** The period has begun. */
  readonly onBegin?: () => void;
}

/**
 * Keeps running tasks alive while the store is unreachable for every entry.
 *
 * An entry whose store lease may have expired goes on renewing task leases for
 * a bounded time, as long as each other entry that it knows reports that it
 * has no contact with the store either, and has acquired none of its shards before.
 * An entry that it doesn't know has registered later, and may have acquired them: it
 * waits, as `EarlierOwners` says. Therefore the time counts from the last read of the
 * entries, if that is older than the lease. An entry that has registered lately, and one that
 * was itself without contact, waits for the lease and the whole grace period
 * before it treats the task of an unreachable worker as ended.
 */
export class OutageGracePeriod {
  /** The answers count like a lease: not while the machine is suspended. */
  private readonly answers: LeaseDeadline;

  constructor(private readonly parts: OutageGracePeriodParts) {
    const {clock, timeOfDay = () => Date.now()} = parts;
    this.answers = new LeaseDeadline(clock, timeOfDay);
  }

  /** Whether task leases may be renewed without the store lease. */
  get isValid(): boolean {
    const {clock, leaseDeadline, entriesKnownUntil} = this.parts;
    const begin = Math.min(leaseDeadline(), entriesKnownUntil());
    const graceDeadline = begin + OUTAGE_GRACE_MILLISECONDS;
    return this.answers.isHeld && clock.now() < graceDeadline;
  }

  /** What the owner of tasks may do, given its store lease. */
  ownership(lease: StoreLeaseState): Ownership {
    const {isLeaseHeld: isHeld, leaseRenewedAt, registeredMilliseconds} = lease;
    const {isValid} = this;
    const previousOwnerRenewalMilliseconds = this.previousOwnerRenewal(
      registeredMilliseconds,
    );
    const mayRenew = isHeld || isValid;
    const answeredAt = isValid ? this.answers.renewedAt : -Infinity;
    const provenAt = Math.max(leaseRenewedAt, answeredAt);
    return {isHeld, mayRenew, provenAt, previousOwnerRenewalMilliseconds};
  }

  /** Background loop: asks the other entries while this one lacks contact. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, contactMilliseconds, onBegin} = this.parts;
    while (!signal.aborted) {
      const sending = this.answers.now();
      const askedAt = sending.steadyInstant;
      const hasContact = contactMilliseconds() > 0;
      if (!hasContact && (await this.isContactLostEverywhere(askedAt))) {
        const hasBegun = !this.isValid;
        this.answers.renew(sending, ANSWER_VALIDITY_MILLISECONDS);
        if (hasBegun) onBegin?.();
      }
      await clock.sleepUntil(askedAt + ROUND_INTERVAL_MILLISECONDS, signal);
    }
  }

  /** Time for which a previous owner may renew after it has lost its shards. */
  private previousOwnerRenewal(registeredMilliseconds: number): number {
    const knownMilliseconds = Math.min(
      this.parts.contactMilliseconds(),
      registeredMilliseconds,
    );
    const isCertain = knownMilliseconds >= KNOWN_TO_ALL_MILLISECONDS;
    return isCertain ? 0 : LONGEST_RENEWAL_MILLISECONDS;
  }

  /** Whether one of the shards of another entry is a later ownership of an own one. */
  private hasLaterOwner(others: readonly OwnedShardEpoch[]): boolean {
    const epochs = new Map(others.map(one => [one.shard, one.epoch]));
    return this.parts
      .ownedShards()
      .some(({shard, epoch}) => (epochs.get(shard) ?? 0) > epoch);
  }

  private async isContactLostEverywhere(askedAt: number): Promise<boolean> {
    const links = this.parts.links();
    if (!links) return false;
    const callDeadline = askedAt + CALL_TIMEOUT_MILLISECONDS;
    try {
      const answers = await Promise.all(
        links.map(link => link.call(storeContactMethod, {}, callDeadline)),
      );
      return answers.every(
        answer => !answer.hasContact && !this.hasLaterOwner(answer.ownedShards),
      );
    } catch {
      return false;
    }
  }
}
