import type {Clock} from '@chicoryspring/contracts';

/** Time between two instants at which the process shows that it is active. */
const TICK_MILLISECONDS = 200;
/** Longest time between two ticks that counts; beyond it, it was suspended. */
const MAX_GAP_MILLISECONDS = 400;

/**
 * Time for which this process was active, in milliseconds.
 *
 * It stands still while the process is suspended or gets no processor, although
 * the clock goes on. What a peer failed to do should be judged by this time.
 */
export class ActiveTime {
  private total = 0;
  /** Local instant up to which `total` counts. */
  private countedUntil: number;

  constructor(private readonly clock: Clock) {
    this.countedUntil = clock.now();
  }

  /** Active time since the creation. */
  now(): number {
    const gap = this.clock.now() - this.countedUntil;
    return this.total + Math.min(gap, MAX_GAP_MILLISECONDS);
  }

  /** The background loop, without which a long time counts as a suspension. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.total = this.now();
      this.countedUntil = this.clock.now();
      const next = this.countedUntil + TICK_MILLISECONDS;
      await this.clock.sleepUntil(next, signal);
    }
  }
}
