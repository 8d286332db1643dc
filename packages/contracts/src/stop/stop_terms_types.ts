/** What the stop of a process has to allow for. */
export interface StopTerms {
  /** Time from the signal until the supervisor kills the process. */
  readonly graceMilliseconds: number;
  /** Time in which peers notice that the process isn't ready any more. */
  readonly noticeMilliseconds: number;
  /** Longest time for which a request is usually held. */
  readonly holdMilliseconds: number;
}
