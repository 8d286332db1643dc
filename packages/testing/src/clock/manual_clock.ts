/** A callback that is due at an instant of the clock. */
interface Timer {
  readonly deadline: number;
  readonly fire: () => void;
}

/** A clock that moves only when a test advances it, in milliseconds. */
export class ManualClock {
  private current: number;
  private timers: readonly Timer[] = [];

  constructor(start = 1_000_000) {
    this.current = start;
  }

  /** The current instant in milliseconds. */
  now(): number {
    return this.current;
  }

  /** Resolves when the clock reaches the deadline, or on abort. */
  async sleepUntil(deadline: number, signal?: AbortSignal): Promise<void> {
    if (deadline <= this.current || signal?.aborted) return;
    await new Promise<void>(resolve => {
      const fire = () => {
        signal?.removeEventListener('abort', fire);
        this.timers = this.timers.filter(one => one.fire !== fire);
        resolve();
      };
      this.timers = [...this.timers, {deadline, fire}];
      signal?.addEventListener('abort', fire, {once: true});
    });
  }

  /** Runs the action at the deadline; the function returned cancels it. */
  schedule(deadline: number, action: () => void): () => void {
    const timer: Timer = {deadline, fire: action};
    this.timers = [...this.timers, timer];
    return () => {
      this.timers = this.timers.filter(one => one !== timer);
    };
  }

  /**
   * Advances the clock and fires every timer that is due, in the order in which
   * they were added. Then waits one turn of the event loop, so that the code
   * that slept can proceed.
   */
  async advance(milliseconds: number): Promise<void> {
    this.current += milliseconds;
    const due = this.timers.filter(one => one.deadline <= this.current);
    this.timers = this.timers.filter(one => one.deadline > this.current);
    for (const timer of due) timer.fire();
    await new Promise(resolve => setImmediate(resolve));
  }
}
