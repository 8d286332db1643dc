import type {Clock} from '@chicoryspring/contracts';

/** The clock of a machine that is ahead of another's; behind if negative. */
export class ShiftedClock implements Clock {
  constructor(
    private readonly inner: Clock,
    private readonly aheadMilliseconds: number,
  ) {}

  now(): number {
    return this.inner.now() + this.aheadMilliseconds;
  }

  async sleepUntil(deadline: number, signal?: AbortSignal): Promise<void> {
    await this.inner.sleepUntil(deadline - this.aheadMilliseconds, signal);
  }

  schedule(deadline: number, action: () => void): () => void {
    return this.inner.schedule(deadline - this.aheadMilliseconds, action);
  }
}
