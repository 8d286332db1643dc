/**
 * Rate limit for the calls of a process: a token bucket with a steady rate and
 * a burst.
 *
 * It reads no clock; the caller passes the current time.
 */
export class CallBudget {
  private tokens: number;
  private refilledAt: number | undefined;

  constructor(
    private readonly callsPerSecond: number,
    private readonly burst: number,
  ) {
    this.tokens = burst;
  }

  /**
   * Reserves one call; returns the time in milliseconds to wait before making
   * it. When that exceeds the maximum, it reserves nothing and returns
   * undefined.
   */
  reserve(now: number, maxWaitMilliseconds: number): number | undefined {
    this.refill(now);
    const missing = Math.max(0, 1 - this.tokens);
    const wait = (missing / this.callsPerSecond) * MILLISECONDS_PER_SECOND;
    if (wait > maxWaitMilliseconds) return undefined;
    this.tokens -= 1;
    return wait;
  }

  private refill(now: number): void {
    const elapsed = now - (this.refilledAt ?? now);
    const refilled = (elapsed * this.callsPerSecond) / MILLISECONDS_PER_SECOND;
    this.tokens = Math.min(this.burst, this.tokens + refilled);
    this.refilledAt = now;
  }
}

const MILLISECONDS_PER_SECOND = 1_000;
