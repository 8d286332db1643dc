import {ChicoryspringError, type Clock} from '@chicoryspring/contracts';
import type {
  Store,
  StoreCondition,
  StoreOperation,
  StoreRange,
  StoreTransaction,
} from '@chicoryspring/store';
import type {MemoryStore} from '@chicoryspring/store/spec/memory_store_fake.js';

/** Time after which a call without a reply fails. */
const TIMEOUT_MILLISECONDS = 1_000;

/**
 * The store as one process reaches it: it can turn that process away, or its answers
 * can be lost, while it serves the others.
 */
export class PartialStore implements Store {
  private isTurnedAway = false;
  private areAnswersLost = false;
  private hasEnded = false;
  private watching = new AbortController();
  private readonly leases = new Set<string>();

  constructor(
    private readonly inner: MemoryStore,
    private readonly clock: Clock,
  ) {}

  get maxTransactionSize(): number {
    return this.inner.maxTransactionSize;
  }

  /** Turns the process away; its keys may be taken away at once. */
  turnAway(revokesLeases: boolean): void {
    this.isTurnedAway = true;
    this.watching.abort();
    if (!revokesLeases) return;
    for (const lease of this.leases) this.inner.expireLeaseNow(lease);
  }

  /** The process has ended, so that none of its calls arrives any more. */
  end(): void {
    this.hasEnded = true;
    this.turnAway(false);
  }

  /** Carries the calls of the process out, whose answers are lost. */
  loseAnswers(): void {
    this.areAnswersLost = true;
    this.watching.abort();
  }

  serve(): void {
    if (this.hasEnded) return;
    this.isTurnedAway = false;
    this.areAnswersLost = false;
    this.watching = new AbortController();
  }

  async readPrefix(prefix: string): Promise<StoreRange> {
    return await this.call(() => this.inner.readPrefix(prefix));
  }

  async transact(
    conditions: readonly StoreCondition[],
    operations: readonly StoreOperation[],
  ): Promise<StoreTransaction> {
    return await this.call(() => this.inner.transact(conditions, operations));
  }

  async grantLease(milliseconds: number) {
    const lease = await this.call(() => this.inner.grantLease(milliseconds));
    this.leases.add(lease.id);
    return lease;
  }

  async renewLease(id: string) {
    return await this.call(() => this.inner.renewLease(id));
  }

  async revokeLease(id: string) {
    await this.call(() => this.inner.revokeLease(id));
  }

  async *watch(prefix: string, fromRevision: number, signal: AbortSignal) {
    if (this.isTurnedAway || this.areAnswersLost) await this.timeOut();
    const until = AbortSignal.any([signal, this.watching.signal]);
    yield* this.inner.watch(prefix, fromRevision, until);
  }

  private async call<T>(run: () => Promise<T>): Promise<T> {
    if (this.isTurnedAway) await this.timeOut();
    const answer = await run();
    if (this.areAnswersLost) await this.timeOut();
    return answer;
  }

  private async timeOut(): Promise<never> {
    await this.clock.sleepUntil(this.clock.now() + TIMEOUT_MILLISECONDS);
    throw new ChicoryspringError('store-unavailable', 'no answer in time');
  }
}
