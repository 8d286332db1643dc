/** What the filling runs of one image do to the runs of a serving image. */
export interface InterferenceRow {
  readonly serving: string;
  readonly filling: string;
  /** Headroom lost to filling runs that use all processors of a worker. */
  readonly harm: number;
}
