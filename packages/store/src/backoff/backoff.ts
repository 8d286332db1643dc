/** Delays between tries: doubled after each, with jitter, up to a limit. */
export class Backoff {
  private attempt = 0;

  constructor(
    private readonly firstMilliseconds: number,
    private readonly longestMilliseconds: number,
    private readonly random: () => number = Math.random,
  ) {}

  /** The next delay in milliseconds. */
  next(): number {
    const doubled = this.firstMilliseconds * 2 ** this.attempt;
    const limit = Math.min(this.longestMilliseconds, doubled);
    this.attempt += 1;
    return limit * (0.5 + this.random() / 2);
  }

  /** Starts again with the first delay, after a success. */
  reset(): void {
    this.attempt = 0;
  }
}
