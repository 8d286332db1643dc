/** A key and its value, with the revision that last wrote it. */
export interface StoreValue {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
}
