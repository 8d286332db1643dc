/** What a run of load measured. */
export interface LoadFigures {
  readonly requestsPerSecond: number;
  readonly p50Milliseconds: number;
  readonly p99Milliseconds: number;
  readonly p999Milliseconds: number;
  /** Requests answered with another status than 200, or not at all. */
  readonly failures: number;
}
