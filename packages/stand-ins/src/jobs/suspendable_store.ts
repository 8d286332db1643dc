import type {
  Store,
  StoreCondition,
  StoreOperation,
  StoreRange,
  StoreTransaction,
} from '@chicoryspring/store';
import type {ProcessSuspension} from './process_suspension.js';

/** A store as a process sees it that hears no reply while it is suspended. */
export class SuspendableStore implements Store {
  constructor(
    private readonly inner: Store,
    private readonly suspension: ProcessSuspension,
  ) {}

  get maxTransactionSize(): number {
    return this.inner.maxTransactionSize;
  }

  async readPrefix(prefix: string): Promise<StoreRange> {
    return await this.hear(this.inner.readPrefix(prefix));
  }

  async transact(
    conditions: readonly StoreCondition[],
    operations: readonly StoreOperation[],
  ): Promise<StoreTransaction> {
    return await this.hear(this.inner.transact(conditions, operations));
  }

  async grantLease(milliseconds: number) {
    return await this.hear(this.inner.grantLease(milliseconds));
  }

  async renewLease(id: string) {
    return await this.hear(this.inner.renewLease(id));
  }

  async revokeLease(id: string) {
    await this.hear(this.inner.revokeLease(id));
  }

  watch(prefix: string, fromRevision: number, signal: AbortSignal) {
    return this.inner.watch(prefix, fromRevision, signal);
  }

  /** The reply, or the failure, once the process goes on. */
  private async hear<T>(reply: Promise<T>): Promise<T> {
    try {
      return await reply;
    } finally {
      await this.suspension.awake();
    }
  }
}
