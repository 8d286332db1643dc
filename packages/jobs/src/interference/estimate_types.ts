/** A figure that is estimated, with its uncertainty. */
export interface Estimate {
  readonly value: number;
  readonly variance: number;
}
