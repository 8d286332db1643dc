import type {TimeCause} from './time_cause_types.js';

/** Time for which nothing changes that decides what the time of a job counts as. */
export interface TimeSpan {
  /** Local instant from which it counts; may be yet to come. */
  readonly begin: number;
  readonly cause: TimeCause;
  /** Part of the time that counts as `pace` instead, 0 to 1. */
  readonly slowedShare: number;
}
