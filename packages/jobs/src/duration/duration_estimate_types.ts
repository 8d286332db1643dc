/** Active run time of the tasks of a class of step, learned or declared. */
export interface DurationEstimate {
  readonly expectedMilliseconds: number;
  /** Time that few runs exceed; infinite if nothing is declared or learned. */
  readonly tailMilliseconds: number;
  /** Number of runs from which it was learned. */
  readonly observations: number;
  /** Whether there are enough observations to replace the declared estimate. */
  readonly isLearned: boolean;
}
