import {randomUUID} from 'node:crypto';
import {
  ChicoryspringError,
  LeaseDeadline,
  Wakeup,
  toChicoryspringError,
  type Clock,
  type EntryMember,
} from '@chicoryspring/contracts';
import {
  NoOpStateLog,
  superviseLoop,
  type StateLog,
} from '@chicoryspring/observability';
import type {ShardTable} from '@chicoryspring/shards';
import {Backoff, type Store} from '@chicoryspring/store';
import {EntryRegistrations} from '../live_state/entry_registrations.js';
import {LiveState} from '../live_state/live_state.js';
import type {EntryRegistration} from './entry_registration_types.js';
import {ENTRY_LEASE_MILLISECONDS} from './entry_lease_milliseconds.js';

const RENEWAL_INTERVAL_MILLISECONDS = 450;
/** Interval of reconciling shard ownership when nothing has changed. */
const RECONCILE_INTERVAL_MILLISECONDS = 800;
const INITIAL_DELAY_MILLISECONDS = 100;
const MAX_DELAY_MILLISECONDS = 1_000;

/**
 * Registers this entry and the shards that it owns under a store lease.
 *
 * One background loop renews the lease and another acquires shards, so that a
 * slow acquisition never delays a renewal.
 */
export class EntryMembership {
  private readonly wakeup = new Wakeup();
  private readonly registrations: EntryRegistrations;
  private readonly lease: LeaseDeadline;
  private leaseId: string | undefined;
  /** The last registration; undefined while there is none. */
  private current: EntryRegistration | undefined;
  private isLeaving = false;

  constructor(
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly member: EntryMember,
    private readonly live: LiveState,
    private readonly table: ShardTable,
    private readonly log: StateLog = new NoOpStateLog(),
    timeOfDay: () => number = () => Date.now(),
  ) {
    this.lease = new LeaseDeadline(clock, timeOfDay);
    this.registrations = new EntryRegistrations(log);
  }

  /** Whether the lease is certainly still held. */
  get isLeaseHeld(): boolean {
    return this.lease.isHeld;
  }

  /** Local instant at which the last granted renewal of the lease was sent. */
  get leaseRenewedAt(): number {
    return this.lease.renewedAt;
  }

  /** Instant until which the lease is certainly held. */
  get leaseDeadline(): number {
    return this.lease.steadyInstant;
  }

  /** Time for which this entry has been registered without a break. */
  get registeredMilliseconds(): number {
    const now = this.clock.now();
    return now - (this.current?.registeredAt ?? now);
  }

  /** The registration of this entry; undefined while there is none. */
  get registration(): EntryRegistration | undefined {
    return this.current;
  }

  /** Background loops of the membership; they run until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, log} = this;
    const supervision = {clock, log, signal};
    const register = () => this.keepRegistered(signal);
    const reconcile = () => this.reconcileShards(signal);
    await Promise.all([
      superviseLoop('registration', register, supervision),
      superviseLoop('shard ownership', reconcile, supervision),
    ]);
  }

  /** Reconciles the shards at once, since entries or owners have changed. */
  notify(): void {
    this.wakeup.notify();
  }

  /**
   * Releases the shards and revokes the lease; failures are only logged. Changes
   * in flight may take until the deadline.
   */
  async leave(deadline = Infinity): Promise<void> {
    this.isLeaving = true;
    try {
      await this.table.releaseAll(deadline);
      if (this.leaseId) await this.store.revokeLease(this.leaseId);
    } catch (thrown) {
      // The lease expires by itself; other entries acquire the shards then.
      this.logFailure('shard handover failed', thrown);
    }
  }

  /** Background loop: registers, renews the lease and registers again. */
  private async keepRegistered(signal: AbortSignal): Promise<void> {
    const backoff = new Backoff(
      INITIAL_DELAY_MILLISECONDS,
      MAX_DELAY_MILLISECONDS,
    );
    while (!signal.aborted && !this.isLeaving) {
      try {
        const lease = await this.register();
        backoff.reset();
        this.wakeup.notify();
        await this.renewUntilExpired(lease, signal);
      } catch (thrown) {
        this.logFailure('registration failed', thrown);
        await this.pause(backoff.next(), signal);
      }
    }
  }

  /** Background loop: acquires and releases shards as the entries change. */
  private async reconcileShards(signal: AbortSignal): Promise<void> {
    while (!signal.aborted && !this.isLeaving) {
      const next = this.clock.now() + RECONCILE_INTERVAL_MILLISECONDS;
      await this.reconcileOnce();
      await this.wakeup.waitUntil(this.clock, next);
    }
  }

  private async reconcileOnce(): Promise<void> {
    if (!this.isLeaseHeld || !this.leaseId || this.isLeaving) return;
    try {
      await this.table.reconcileOwnership(this.live.fleet, this.leaseId);
    } catch (thrown) {
      // The next round acquires what this one could not.
      this.logFailure('shard reconciliation failed', thrown);
    }
  }

  private async register(): Promise<string> {
    const sending = this.lease.now();
    const lease = await this.store.grantLease(ENTRY_LEASE_MILLISECONDS);
    await this.putRegistration(lease.id);
    this.leaseId = lease.id;
    this.lease.renew(sending, ENTRY_LEASE_MILLISECONDS);
    return lease.id;
  }

  private async putRegistration(lease: string): Promise<void> {
    const key = LiveState.entryKey(this.member.name);
    const revision = await this.revisionToReplace(key);
    const id = randomUUID();
    const value = JSON.stringify({...this.member, registration: id});
    const put = {kind: 'put' as const, key, value, lease};
    const written = await this.store.transact([{key, revision}], [put]);
    if (!written.succeeded) throw nameTakenError(this.member.name);
    this.current = {id, registeredAt: this.clock.now()};
  }

  /** Registers again, under the same lease, if another writer wrote the key. */
  private async restoreRegistration(lease: string): Promise<void> {
    if (!this.live.isUnreadable(this.member.name)) return;
    try {
      await this.putRegistration(lease);
      this.log.change('registration restored', {entry: this.member.name});
    } catch (thrown) {
      // The next renewal tries again.
      this.logFailure('registration not restored', thrown);
    }
  }

  /**
   * Revision of the registration that may be replaced; 0 if there is none.
   *
   * It is this process's own, one of a previous process at its address, or a
   * value that registers no process. Throws if another process is registered
   * under the name.
   */
  private async revisionToReplace(key: string): Promise<number> {
    const {values} = await this.store.readPrefix(key);
    const existing = values.find(one => one.key === key);
    if (!existing) return 0;
    const registered = this.registrations.decode(key, existing.value);
    // Two processes can't listen at one address: the previous one has ended.
    const {linkUrl} = registered ?? this.member;
    if (linkUrl === this.member.linkUrl) return existing.revision;
    throw nameTakenError(this.member.name);
  }

  private async renewUntilExpired(
    lease: string,
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted && !this.isLeaving) {
      const sending = this.lease.now();
      const outcome = await this.renew(lease);
      if (outcome === 'lapsed') return this.handleLeaseExpiry();
      if (outcome === 'held') {
        this.lease.renew(sending, ENTRY_LEASE_MILLISECONDS);
        await this.restoreRegistration(lease);
      }
      await this.pause(RENEWAL_INTERVAL_MILLISECONDS, signal);
    }
  }

  private logFailure(event: string, thrown: unknown): void {
    const {kind, message} = toChicoryspringError(thrown);
    const heldMilliseconds = this.lease.remainingMilliseconds;
    this.log.change(event, {kind, message, heldMilliseconds});
  }

  private handleLeaseExpiry(): void {
    this.log.change('lease lapsed', {lease: this.leaseId});
    this.lease.end();
    this.leaseId = undefined;
    this.current = undefined;
    this.table.dropAll();
  }

  private async renew(lease: string): Promise<'held' | 'lapsed' | 'unknown'> {
    try {
      return (await this.store.renewLease(lease)) ? 'held' : 'lapsed';
    } catch (thrown) {
      this.logFailure('lease renewal failed', thrown);
      return 'unknown';
    }
  }

  private async pause(
    milliseconds: number,
    signal: AbortSignal,
  ): Promise<void> {
    await this.clock.sleepUntil(this.clock.now() + milliseconds, signal);
  }
}

function nameTakenError(name: string): ChicoryspringError {
  const message = `another process is registered as ${name}`;
  return new ChicoryspringError('settings-invalid', message);
}
