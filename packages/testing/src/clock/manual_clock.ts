/** A callback that is due at an instant of the clock. */
interface Sleeper {
  readonly deadline: number;
  readonly wake: () => void;
}

/** A clock that moves only when a test advances it, in milliseconds. */
export class ManualClock {
  private current: number;
  private sleepers: readonly Sleeper[] = [];

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
      const wake = () => {
        signal?.removeEventListener('abort', wake);
        this.sleepers = this.sleepers.filter(one => one.wake !== wake);
        resolve();
      };
      this.sleepers = [...this.sleepers, {deadline, wake}];
      signal?.addEventListener('abort', wake, {once: true});
    });
  }

  /** Runs the action at the deadline; the function returned cancels it. */
  schedule(deadline: number, action: () => void): () => void {
    const sleeper: Sleeper = {deadline, wake: action};
    this.sleepers = [...this.sleepers, sleeper];
    return () => {
      this.sleepers = this.sleepers.filter(one => one !== sleeper);
    };
  }

  /**
   * Advances the clock and fires every timer that is due, then waits one turn
   * of the event loop so that the code that waited can proceed.
   */
  async advance(milliseconds: number): Promise<void> {
    this.current += milliseconds;
    const due = this.sleepers.filter(one => one.deadline <= this.current);
    this.sleepers = this.sleepers.filter(one => one.deadline > this.current);
    for (const sleeper of due) sleeper.wake();
    await new Promise(resolve => setImmediate(resolve));
  }
}
