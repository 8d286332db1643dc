/** An estimated value with its variance. */
export interface Estimate {
  readonly value: number;
  readonly variance: number;
}
