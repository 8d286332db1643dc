/** Median and range of one figure over several seeds. */
export interface SeedSummary {
  readonly median: number;
  readonly least: number;
  readonly most: number;
}
