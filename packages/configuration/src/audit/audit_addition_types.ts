import type {StoreCondition, StoreOperation} from '@chicoryspring/store';

/** The part of a transaction that adds records to the trail. */
export interface AuditAddition {
  readonly conditions: readonly StoreCondition[];
  readonly operations: readonly StoreOperation[];
}
