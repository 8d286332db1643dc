/** A change reported by a watch; without a value, the key was deleted. */
export interface StoreChange {
  readonly key: string;
  readonly value?: string | undefined;
  readonly revision: number;
}
