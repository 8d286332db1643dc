import type {StoreChange} from './store_change_types.js';
import type {StoreOperation} from './store_operation_types.js';
import type {StoreCondition} from './store_condition_types.js';
import type {StoreLease} from './store_lease_types.js';
import type {StoreRange} from './store_range_types.js';
import type {StoreTransaction} from './store_transaction_types.js';

/**
 * The platform's key-value store.
 *
 * A write that fails as `store-unavailable` did not take effect. One that
 * fails as `store-outcome-unknown` may have taken effect.
 */
export interface Store {
  /** Maximum conditions and operations, together, in one transaction. */
  readonly maxTransactionSize: number;
  /**
   * Reads every value whose key starts with the prefix. With `allowsStale` the
   * values may be seconds old; an implementation may ignore it and read the
   * current ones.
   */
  readPrefix(prefix: string, allowsStale?: boolean): Promise<StoreRange>;
  /** Applies all operations atomically if every condition is true. */
  transact(
    conditions: readonly StoreCondition[],
    operations: readonly StoreOperation[],
  ): Promise<StoreTransaction>;
  grantLease(milliseconds: number): Promise<StoreLease>;
  /** Renews a lease; returns false when it has expired. */
  renewLease(id: string): Promise<boolean>;
  revokeLease(id: string): Promise<void>;
  /**
   * Yields changes below the prefix from a revision on, until aborted.
   *
   * An implementation that can tell calls `onConfirmed` after the store has shown
   * that no earlier change is missing, with the time in milliseconds since then at
   * most.
   */
  watch(
    prefix: string,
    fromRevision: number,
    signal: AbortSignal,
    onConfirmed?: (ageMilliseconds: number) => void,
  ): AsyncIterable<readonly StoreChange[]>;
}
