/** Retry delays with jitter: doubled after each attempt, up to a maximum. */
export class Backoff {
  private attempt = 0;

  constructor(
    private readonly initialMilliseconds: number,
    private readonly maxMilliseconds: number,
    private readonly random: () => number = Math.random,
  ) {}

  /** The next delay in milliseconds. */
  next(): number {
    const doubled = this.initialMilliseconds * 2 ** this.attempt;
    const limit = Math.min(this.maxMilliseconds, doubled);
    this.attempt += 1;
    return limit * (0.5 + this.random() / 2);
  }

  /** Restarts with the initial delay; to be called after a success. */
  reset(): void {
    this.attempt = 0;
  }
}
