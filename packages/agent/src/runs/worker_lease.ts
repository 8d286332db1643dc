/** The worker's clock may run this much slower than the agent's. */
const MAX_CLOCK_RATIO = 1.02;

/** Until when what runs on a worker may be alive, on the local clock. */
export class WorkerLease {
  private deadline = 0;

  /** Takes note of a lease that was sent, whether it was taken or not. */
  extend(now: number, leaseMilliseconds: number): void {
    const latest = now + leaseMilliseconds * MAX_CLOCK_RATIO;
    this.deadline = Math.max(this.deadline, latest);
  }

  /** Whether the lease has run out, with a margin in milliseconds. */
  hasExpired(now: number, margin: number): boolean {
    return now >= this.deadline + margin;
  }
}
