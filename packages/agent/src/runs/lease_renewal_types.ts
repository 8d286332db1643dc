/** How an agent holds a worker and looks at it. */
export interface LeaseRenewal {
  readonly fencingToken: number;
  /** Ends up to this number are settled and may be forgotten. */
  readonly acknowledgedUpTo: number;
  /** Time for which everything may run on; absent to extend nothing. */
  readonly leaseMilliseconds?: number | undefined;
  /** Time for which the worker may wait for an end before it answers. */
  readonly waitMilliseconds: number;
}
