/** Interference between two images, with its field names on the link. */
export interface InterferenceRow {
  /** Image of the latency-critical runs. */
  readonly serving: string;
  /** Image of the best-effort runs. */
  readonly filling: string;
  /** Headroom lost to best-effort runs that use all processors of a worker. */
  readonly harm: number;
}
