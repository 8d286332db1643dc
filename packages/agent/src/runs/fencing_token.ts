/** Added to a fence that the worker found too low. */
const INITIAL_RAISE = 60_000;

/**
 * The fence of one life of an agent.
 *
 * It starts at the time of day, so that it is above the fences of earlier
 * lives, and is raised until the worker accepts it: a clock may have jumped.
 */
export class FencingToken {
  private current: number;
  private step = INITIAL_RAISE;

  constructor(instant: number) {
    this.current = Math.floor(instant);
  }

  get value(): number {
    return this.current;
  }

  /** Raises the fence, by more each time. */
  raise(): void {
    this.current += this.step;
    this.step *= 2;
  }
}
