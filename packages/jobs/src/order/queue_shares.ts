/** Time in which work received counts for half as much. */
const HALF_LIFE_MILLISECONDS = 10_000;
/** Work below which a queue is as if it had received none. */
const NEGLIGIBLE_WORK = 1;

interface ReceivedWork {
  readonly work: number;
  /** Local instant, in milliseconds. */
  readonly at: number;
}

/** The work that each queue has received lately. */
export class QueueShares {
  private readonly received = new Map<string, ReceivedWork>();

  add(queue: string, work: number, now: number): void {
    const sum = this.workOf(queue, now) + work;
    this.received.set(queue, {work: sum, at: now});
  }

  workOf(queue: string, now: number): number {
    const known = this.received.get(queue);
    if (!known) return 0;
    const halfLives = Math.max(0, now - known.at) / HALF_LIFE_MILLISECONDS;
    return known.work * 0.5 ** halfLives;
  }

  /** Forgets the queues that have received nothing for long. */
  forgetIdle(now: number): void {
    for (const queue of this.received.keys()) {
      if (this.workOf(queue, now) < NEGLIGIBLE_WORK)
        this.received.delete(queue);
    }
  }
}
