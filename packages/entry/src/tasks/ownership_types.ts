/** What the owner of tasks may do at the moment. */
export interface Ownership {
  /** Whether this entry certainly owns its shards now. */
  readonly isHeld: boolean;
  /** Whether it may renew the leases of running tasks. */
  readonly mayRenew: boolean;
  /**
   * Time for which an earlier owner of a shard that is claimed now may have
   * gone on renewing, in milliseconds.
   */
  readonly previousOwnerRenewalMilliseconds: number;
}
