/** Request of an agent to renew the lease of a worker and to list its runs. */
export interface LeaseRenewal {
  readonly fencingToken: number;
  /** Endings up to this number are settled, so the worker may forget them. */
  readonly acknowledgedUpTo: number;
  /** Time for which all runs may continue; absent to renew nothing. */
  readonly leaseMilliseconds?: number | undefined;
  /** Time for which the worker may wait for an ending before it answers. */
  readonly waitMilliseconds: number;
}
