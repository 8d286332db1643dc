/** When the steps of a job run, if they run more than once or later. */
export interface JobOccurrences {
  readonly count: number;
  /** When the first is due, in milliseconds since 1970. */
  readonly firstInstant: number;
  /** Time between two, in milliseconds. */
  readonly intervalMilliseconds: number;
}
