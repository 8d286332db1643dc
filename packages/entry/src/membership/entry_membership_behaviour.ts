import type {Clock, EntryMember} from '@chicoryspring/contracts';
import type {ShardTable} from '@chicoryspring/shards';
import type {Store} from '@chicoryspring/store';
import {LiveState} from '../live_state/live_state_behaviour.js';

const LEASE_SECONDS = 3;
const LEASE_MILLISECONDS = 3_000;
const RENEWAL_MILLISECONDS = 800;
const RETRY_MILLISECONDS = 250;

/** Registers this entry under a store lease, and its shards with it. */
export class EntryMembership {
  private leaseDeadline = 0;
  private leaseId: string | undefined;

  constructor(
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly member: EntryMember,
    private readonly live: LiveState,
    private readonly table: ShardTable,
  ) {}

  /** Whether the lease is certainly still held. */
  get isHeld(): boolean {
    return this.clock.now() < this.leaseDeadline;
  }

  /** The task of the membership: registers, renews, registers again. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        const lease = await this.register();
        await this.keep(lease, signal);
      } catch {
        await this.pause(RETRY_MILLISECONDS, signal);
      }
    }
  }

  /** Hands over the shards and ends the registration. */
  async leave(): Promise<void> {
    await this.table.releaseAll();
    if (this.leaseId) await this.store.revokeLease(this.leaseId);
  }

  private async register(): Promise<string> {
    const sent = this.clock.now();
    const lease = await this.store.grantLease(LEASE_SECONDS);
    const key = LiveState.entryKey(this.member.name);
    const value = JSON.stringify(this.member);
    const put = {kind: 'put' as const, key, value, lease: lease.id};
    await this.store.transact([], [put]);
    this.leaseId = lease.id;
    this.leaseDeadline = sent + LEASE_MILLISECONDS;
    return lease.id;
  }

  /** Renews until the store says that the lease has lapsed. */
  private async keep(lease: string, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const sent = this.clock.now();
      const outcome = await this.renew(lease);
      if (outcome === 'lapsed') return this.table.forgetAll();
      if (outcome === 'held') await this.settle(lease, sent);
      await this.pause(RENEWAL_MILLISECONDS, signal);
    }
  }

  private async settle(lease: string, sent: number): Promise<void> {
    this.leaseDeadline = sent + LEASE_MILLISECONDS;
    try {
      await this.table.settleOwnership(this.live.fleet, lease);
    } catch {
      // The next round claims what this one could not.
    }
  }

  private async renew(lease: string): Promise<'held' | 'lapsed' | 'unknown'> {
    try {
      return (await this.store.renewLease(lease)) ? 'held' : 'lapsed';
    } catch {
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
