/**
 * Calls that a process may make: a steady rate and a burst above it.
 *
 * Time is not read here; the caller passes the instant.
 */
export class CallBudget {
  private available: number;
  private countedAt: number | undefined;

  constructor(
    private readonly callsPerSecond: number,
    private readonly burst: number,
  ) {
    this.available = burst;
  }

  /**
   * Takes one call; returns the milliseconds to wait before it is made, or
   * undefined when that would be longer than the limit.
   */
  take(now: number, longestWaitMilliseconds: number): number | undefined {
    this.refill(now);
    const missing = Math.max(0, 1 - this.available);
    const wait = (missing / this.callsPerSecond) * MILLISECONDS_PER_SECOND;
    if (wait > longestWaitMilliseconds) return undefined;
    this.available -= 1;
    return wait;
  }

  private refill(now: number): void {
    const passed = now - (this.countedAt ?? now);
    const gained = (passed * this.callsPerSecond) / MILLISECONDS_PER_SECOND;
    this.available = Math.min(this.burst, this.available + gained);
    this.countedAt = now;
  }
}

const MILLISECONDS_PER_SECOND = 1_000;
