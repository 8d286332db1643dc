/** Shares of the calls to an unreliable worker, from 0 to 1. */
export interface UnreliableWorkerOptions {
  readonly unansweredShare: number;
  /** Share of the start orders that the worker rejects on its own account. */
  readonly rejectedShare: number;
}
