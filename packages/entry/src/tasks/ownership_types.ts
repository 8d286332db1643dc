/** What this entry may do now as the owner of tasks. */
export interface Ownership {
  /** Whether the store lease is certainly held, and so are the shards. */
  readonly isHeld: boolean;
  /** Whether it may renew the leases of running tasks. */
  readonly mayRenew: boolean;
  /**
   * Local instant at which the last call was sent that showed that no other entry
   * could own the shards; `-Infinity` without one.
   */
  readonly provenAt: number;
  /**
   * Time from now for which the previous owner of a shard acquired now may
   * still renew task leases, in milliseconds.
   */
  readonly previousOwnerRenewalMilliseconds: number;
}
