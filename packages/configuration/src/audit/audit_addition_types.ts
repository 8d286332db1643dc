import type {StoreCondition, StoreOperation} from '@chicoryspring/store';

/** Conditions and operations of a transaction that append audit records. */
export interface AuditAddition {
  readonly conditions: readonly StoreCondition[];
  readonly operations: readonly StoreOperation[];
}
