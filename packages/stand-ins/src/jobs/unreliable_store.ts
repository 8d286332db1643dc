import {ChicoryspringError, type Clock} from '@chicoryspring/contracts';
import type {
  Store,
  StoreCondition,
  StoreOperation,
  StoreRange,
  StoreTransaction,
} from '@chicoryspring/store';

const CALL_MILLISECONDS = 5;
/** Time after which a call without a reply fails. */
const TIMEOUT_MILLISECONDS = 1_000;
/** Maximum time until a call that has failed takes effect all the same. */
const MAX_DELAY_MILLISECONDS = 5_000;

/**
 * A store as one entry reaches it, over a connection of its own.
 *
 * While it is overloaded, a call is answered, or it fails and has taken effect,
 * takes effect later, or never does.
 */
export class UnreliableStore implements Store {
  state: 'reliable' | 'overloaded' | 'unreachable' = 'reliable';

  constructor(
    private readonly inner: Store,
    private readonly clock: Clock,
    private readonly random: () => number,
  ) {}

  get maxTransactionSize(): number {
    return this.inner.maxTransactionSize;
  }

  async readPrefix(prefix: string): Promise<StoreRange> {
    return await this.call(
      () => this.inner.readPrefix(prefix),
      'store-unavailable',
    );
  }

  async transact(
    conditions: readonly StoreCondition[],
    operations: readonly StoreOperation[],
  ): Promise<StoreTransaction> {
    return await this.call(
      () => this.inner.transact(conditions, operations),
      'store-outcome-unknown',
    );
  }

  async grantLease(milliseconds: number) {
    return await this.inner.grantLease(milliseconds);
  }

  async renewLease(id: string) {
    return await this.inner.renewLease(id);
  }

  async revokeLease(id: string) {
    await this.inner.revokeLease(id);
  }

  watch(prefix: string, fromRevision: number, signal: AbortSignal) {
    return this.inner.watch(prefix, fromRevision, signal);
  }

  private async call<T>(
    run: () => Promise<T>,
    failure: 'store-unavailable' | 'store-outcome-unknown',
  ): Promise<T> {
    if (this.state === 'unreachable') {
      await this.sleep(TIMEOUT_MILLISECONDS);
      throw new ChicoryspringError('store-unavailable', 'unreachable');
    }
    await this.sleep(CALL_MILLISECONDS);
    if (this.state === 'reliable') return await run();
    const outcome = Math.floor(4 * this.random());
    if (outcome === 0) return await run();
    if (outcome === 1) this.runLater(run, 0);
    if (outcome === 2)
      this.runLater(run, MAX_DELAY_MILLISECONDS * this.random());
    await this.sleep(TIMEOUT_MILLISECONDS);
    throw new ChicoryspringError(failure, 'no reply');
  }

  private runLater(run: () => Promise<unknown>, milliseconds: number): void {
    // Its caller has given up and learns of neither result nor failure.
    void this.sleep(milliseconds)
      .then(run)
      .catch(() => undefined);
  }

  private async sleep(milliseconds: number): Promise<void> {
    await this.clock.sleepUntil(this.clock.now() + milliseconds);
  }
}
