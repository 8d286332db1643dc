import type {StoreChange} from './store_change_types.js';
import type {StoreOperation} from './store_operation_types.js';
import type {StoreCondition} from './store_condition_types.js';
import type {StoreLease} from './store_lease_types.js';
import type {StoreRange} from './store_range_types.js';
import type {StoreTransaction} from './store_transaction_types.js';

/**
 * The platform's key-value service.
 *
 * A write that fails as `store-unavailable` did not take effect; one that
 * fails as `store-outcome-unknown` may have.
 */
export interface Store {
  /** Most conditions and operations, together, of one transaction. */
  readonly maxTransactionSize: number;
  /**
   * Every value whose key starts with the prefix. A cheap read may be seconds
   * old.
   */
  readPrefix(prefix: string, allowsStale?: boolean): Promise<StoreRange>;
  /** Applies the operations together if every condition holds. */
  transact(
    conditions: readonly StoreCondition[],
    operations: readonly StoreOperation[],
  ): Promise<StoreTransaction>;
  grantLease(milliseconds: number): Promise<StoreLease>;
  /** Renews a lease; false when it has lapsed. */
  renewLease(id: string): Promise<boolean>;
  revokeLease(id: string): Promise<void>;
  /** Changes below the prefix from a revision on, until the signal aborts. */
  watch(
    prefix: string,
    fromRevision: number,
    signal: AbortSignal,
  ): AsyncIterable<readonly StoreChange[]>;
}
