/** An entry's view of a target. */
export interface Target {
  /** Name of the worker that the target runs on; identifies the target. */
  readonly worker: string;
  readonly service: string;
  readonly failureDomain: string;
  readonly slots: number;
  /** Requests of this entry that are not answered yet. */
  readonly requestsInFlight: number;
  /** Requests in flight at the target by its last answer or load report. */
  readonly reportedInFlight: number;
  /** Recent tail latency of the target, in milliseconds. */
  readonly tailMilliseconds: number;
  /** Mean latency measured by this entry; undefined without a recent answer. */
  readonly latencyMilliseconds?: number | undefined;
  /** Maximum number of requests that this entry may have in flight there. */
  readonly concurrencyLimit: number;
}
