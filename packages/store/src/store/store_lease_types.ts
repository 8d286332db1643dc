/** A lease granted by the store. */
export interface StoreLease {
  readonly id: string;
}
