/**
 * Headroom that a latency-critical run loses to best-effort runs that use all
 * processors of a worker, by their images.
 */
export type InterferenceLookup = (
  latencyCriticalImage: string,
  bestEffortImage: string,
) => number;
