/** Extension of a worker's lease that one call carries. */
export interface LeaseGrant {
  /** Length of the lease from the sending of the call. */
  readonly milliseconds: number;
  /** Local instant at which it has expired, if the worker gets the call. */
  readonly deadline: number;
}
