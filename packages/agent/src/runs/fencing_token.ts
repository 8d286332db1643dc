/** First amount added to a token that the worker rejected as too low. */
const INITIAL_RAISE_MILLISECONDS = 60_000;

/**
 * The fencing token of an agent process for one incarnation of its worker.
 *
 * The worker rejects calls with a lower token than the highest it has seen.
 * The token starts at the wall clock time, so that it exceeds the tokens of
 * earlier incarnations of the agent. A clock may have jumped since then, so the
 * token is raised until the worker accepts it.
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
