/** Whether a transaction was applied, and the revision of the store. */
export interface StoreTransaction {
  readonly succeeded: boolean;
  readonly revision: number;
}
