/** Bounds of the backoff before a rejected task is placed again. */
const INITIAL_DELAY_MILLISECONDS = 250;
const MAX_DELAY_MILLISECONDS = 4_000;

interface Delay {
  readonly nextAttemptTime: number;
  readonly refusals: number;
}

/** Exponential backoff for the placement of tasks whose start was rejected. */
export class PlacementDelays {
  private readonly delays = new Map<string, Delay>();

  mayPlace(taskId: string, now: number): boolean {
    return now >= (this.delays.get(taskId)?.nextAttemptTime ?? 0);
  }

  /** Records a refusal; each one doubles the delay. */
  recordRefusal(taskId: string, now: number): void {
    const refusals = this.delays.get(taskId)?.refusals ?? 0;
    const doubled = INITIAL_DELAY_MILLISECONDS * 2 ** refusals;
    const delay = Math.min(MAX_DELAY_MILLISECONDS, doubled);
    this.delays.set(taskId, {
      nextAttemptTime: now + delay,
      refusals: refusals + 1,
    });
  }

  reset(taskId: string): void {
    this.delays.delete(taskId);
  }
}
