/** What a latency-critical run can lose to best-effort runs of its worker. */
export interface SpareHeadroom {
  readonly image: string;
  /** Headroom above what the run has to keep; 0 or more. */
  readonly headroom: number;
  /** Cost up to which a best-effort run is not slowed, spare or not. */
  readonly toleratedCost: number;
}
