/** First amount added to a token that the worker rejected as too low. */
const INITIAL_RAISE_MILLISECONDS = 60_000;

/**
 * The fencing token of one incarnation of an agent.
 *
 * The worker rejects calls with a lower token than the highest it has seen.
 * The token starts at the wall clock time, so that it exceeds those of earlier
 * incarnations. It is raised until the worker accepts it, because a clock
 * may have jumped.
 */
export class FencingToken {
  private current: number;
  private nextRaise = INITIAL_RAISE_MILLISECONDS;

  constructor(instant: number) {
    this.current = Math.floor(instant);
  }

  get value(): number {
    return this.current;
  }

  /** Raises the token; each raise is twice the previous one. */
  raise(): void {
    this.current += this.nextRaise;
    this.nextRaise *= 2;
  }
}
