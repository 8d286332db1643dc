import type {Clock} from '@chicoryspring/contracts';

/** The clock of a process that can be suspended: no timer fires meanwhile. */
export class SuspendableClock implements Clock {
  private suspendedUntil = 0;

  constructor(private readonly inner: Clock) {}

  /** Suspends the process until the instant. */
  suspendUntil(instant: number): void {
    this.suspendedUntil = instant;
  }

  now(): number {
    return this.inner.now();
  }

  async sleepUntil(deadline: number, signal?: AbortSignal): Promise<void> {
    await this.inner.sleepUntil(deadline, signal);
    await this.inner.sleepUntil(this.suspendedUntil, signal);
  }

  schedule(deadline: number, action: () => void): () => void {
    let cancel = this.inner.schedule(deadline, () => {
      const isSuspended = this.now() < this.suspendedUntil;
      if (isSuspended) cancel = this.schedule(this.suspendedUntil, action);
      else action();
    });
    return () => cancel();
  }
}
