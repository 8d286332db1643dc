/** Whether a transaction's conditions held, and the store's revision. */
export interface StoreTransaction {
  readonly succeeded: boolean;
  readonly revision: number;
}
