/** A target as an entry knows it. */
export interface Target {
  /** Worker beside which the target runs; names the target. */
  readonly worker: string;
  readonly service: string;
  readonly failureDomain: string;
  readonly slots: number;
  /** Requests that this entry has sent and not yet seen answered. */
  readonly requestsInFlight: number;
  /** Requests at the target as its last answer or report said. */
  readonly reportedInFlight: number;
  /** Recent tail of the target's answers, in milliseconds. */
  readonly tailMilliseconds: number;
  /** Recent latency as this entry saw it; undefined before any answer. */
  readonly latencyMilliseconds?: number | undefined;
  /** Most requests that this entry may have in flight there. */
  readonly concurrencyLimit: number;
}
