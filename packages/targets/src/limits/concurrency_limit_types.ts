/** Limits the requests that one entry may have in flight at one target. */
export interface ConcurrencyLimit {
  readonly limit: number;
  /**
   * Records an answer's latency and the requests in flight when it arrived, the
   * answered one included.
   */
  recordAnswer(latencyMilliseconds: number, requestsInFlight: number): void;
  /** Records that the target rejected a request or answered too late. */
  recordDrop(): void;
}
