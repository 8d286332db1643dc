import {ChicoryspringError} from '@chicoryspring/contracts';
import type {
  Store,
  StoreCondition,
  StoreOperation,
  StoreTransaction,
} from '@chicoryspring/store';

/** A store as an entry reaches it whose writes it may refuse, and no reads. */
export class WriteRefusingStore implements Store {
  isRefusing = false;

  constructor(private readonly inner: Store) {}

  get maxTransactionSize(): number {
    return this.inner.maxTransactionSize;
  }

  async readPrefix(prefix: string) {
    return await this.inner.readPrefix(prefix);
  }

  async transact(
    conditions: readonly StoreCondition[],
    operations: readonly StoreOperation[],
  ): Promise<StoreTransaction> {
    if (this.isRefusing)
      throw new ChicoryspringError('store-unavailable', 'transact');
    return await this.inner.transact(conditions, operations);
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
}
