/** Schedule of a job that runs repeatedly or starts later. */
export interface JobOccurrences {
  readonly count: number;
  /** Due time of the first occurrence, in milliseconds since 1970. */
  readonly firstInstant: number;
  /** Time between occurrences, in milliseconds. */
  readonly intervalMilliseconds: number;
}
