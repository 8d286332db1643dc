/** How many requests one entry may have in flight at one target. */
export interface ConcurrencyLimit {
  readonly limit: number;
  /** Takes in an answer and the requests in flight when it was sent. */
  recordAnswer(latencyMilliseconds: number, requestsInFlight: number): void;
  /** Takes in that the target refused, or answered too late. */
  recordDrop(): void;
}
