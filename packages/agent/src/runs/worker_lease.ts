/** Greatest ratio of the agent's clock rate to the worker's. */
const MAX_CLOCK_RATIO = 1.02;

/** Upper bound of the lease of a worker, on the local clock. */
export class WorkerLease {
  private deadline = 0;

  /** Records a lease that was sent; the worker may have accepted it or not. */
  extend(now: number, leaseMilliseconds: number): void {
    const latest = now + leaseMilliseconds * MAX_CLOCK_RATIO;
    this.deadline = Math.max(this.deadline, latest);
  }

  /** Whether the lease expired at least `margin` milliseconds ago. */
  isExpired(now: number, margin: number): boolean {
    return now >= this.deadline + margin;
  }
}
