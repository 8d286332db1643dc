/** A lease of the store. */
export interface StoreLease {
  readonly id: string;
}
