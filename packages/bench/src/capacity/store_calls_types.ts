/** Calls that the store has served since it began. */
export interface StoreCalls {
  readonly reads: number;
  readonly writes: number;
}
