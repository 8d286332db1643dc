/**
 * Rate limit for the calls of a process: a token bucket with a steady rate and
 * a burst.
 *
 * It reads no clock; the caller passes the current time.
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
   * Reserves one call; returns the time in milliseconds to wait before making
   * it. When that exceeds the maximum, it reserves nothing and returns
   * undefined.
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
