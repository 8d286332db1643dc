import type {Clock} from '@chicoryspring/contracts';
import {ProcessSuspension} from './process_suspension.js';

/** The steady clock of a process, whose timers are late while it is suspended. */
export class SuspendableClock implements Clock {
  constructor(
    private readonly inner: Clock,
    private readonly suspension = new ProcessSuspension(),
  ) {}

  /** Suspends the process until the instant. */
  suspendUntil(instant: number): void {
    this.suspension.suspend();
    this.inner.schedule(instant, () => this.suspension.resume());
  }

  now(): number {
    return this.inner.now();
  }

  async sleepUntil(deadline: number, signal?: AbortSignal): Promise<void> {
    await this.inner.sleepUntil(deadline, signal);
    await this.suspension.awake();
  }

  schedule(deadline: number, action: () => void): () => void {
    let isCancelled = false;
    const fire = () => {
      if (!isCancelled) action();
    };
    const cancel = this.inner.schedule(deadline, () =>
      this.suspension.whenAwake(fire),
    );
    return () => {
      isCancelled = true;
      cancel();
    };
  }
}
