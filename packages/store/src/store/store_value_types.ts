/** A value of the store with the revision that wrote it. */
export interface StoreValue {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
}
