import {ChicoryspringError} from '@chicoryspring/contracts';
import type {
  Store,
  StoreCondition,
  StoreOperation,
  StoreRange,
  StoreTransaction,
  StoreValue,
} from '@chicoryspring/store';

/**
 * Each fault makes the transaction throw `store-outcome-unknown`.
 *
 * `reply-lost`: the write takes effect.
 * `write-lost`: the write doesn't take effect.
 * `down`: the write takes effect, and later reads fail.
 */
type Fault = 'reply-lost' | 'write-lost' | 'down';

/** An in-memory store with injected faults, one for each transaction. */
export class FakeStore implements Pick<Store, 'readPrefix' | 'transact'> {
  private readonly values = new Map<string, StoreValue>();
  private revision = 1;
  /** Faults of the next transactions, in order. */
  readonly writeFaults: Fault[] = [];
  isDown = false;
  /** Runs once, before the next transaction, to let another write win. */
  beforeWrite: () => Promise<void> = async () => undefined;
  /** Runs once, after the next transaction and before its reply. */
  afterWrite: () => Promise<void> = async () => undefined;

  /** This store as the full interface; other methods must not be called. */
  get asStore(): Store {
    return this as unknown as Store;
  }

  async readPrefix(prefix: string): Promise<StoreRange> {
    if (this.isDown) throw new ChicoryspringError('store-unavailable', 'down');
    const found = [...this.values.values()].filter(one =>
      one.key.startsWith(prefix),
    );
    return {values: found, revision: this.revision};
  }

  async transact(
    conditions: readonly StoreCondition[],
    operations: readonly StoreOperation[],
  ): Promise<StoreTransaction> {
    const before = this.beforeWrite;
    this.beforeWrite = async () => undefined;
    await before();
    const fault = this.writeFaults.shift();
    const succeeded = fault !== 'write-lost' && this.conditionsMet(conditions);
    if (succeeded) this.apply(operations);
    const after = this.afterWrite;
    this.afterWrite = async () => undefined;
    await after();
    if (fault === undefined) return {succeeded, revision: this.revision};
    this.isDown = fault === 'down';
    throw new ChicoryspringError('store-outcome-unknown', fault);
  }

  /** Length of the longest value in UTF-16 code units. */
  get longestValue(): number {
    const lengths = [...this.values.values()].map(one => one.value.length);
    return Math.max(...lengths);
  }

  private conditionsMet(conditions: readonly StoreCondition[]): boolean {
    return conditions.every(
      ({key, revision}) => (this.values.get(key)?.revision ?? 0) === revision,
    );
  }

  private apply(operations: readonly StoreOperation[]): void {
    this.revision += 1;
    const {revision} = this;
    for (const operation of operations) {
      if (operation.kind !== 'put') continue;
      const {key, value} = operation;
      this.values.set(key, {key, value, revision});
    }
  }
}
