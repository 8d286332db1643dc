import {Wakeup, type Clock} from '@chicoryspring/contracts';
import type {AuditEntry, AuditTrail} from '@chicoryspring/configuration';

/** Most entries that wait for the store; the oldest give way. */
const MOST_WAITING = 2_000;
/** Most entries of one write, which fit the values of two pages. */
const MOST_TOGETHER = 200;
/** Time between two writes, which keeps the trail within the store's budget. */
const INTERVAL_MILLISECONDS = 1_000;

/**
 * Records what the system does by itself, after it has happened.
 *
 * Such changes are durable in their own records; what waits here is lost with
 * the process.
 */
export class AuditRecorder {
  private waiting: readonly AuditEntry[] = [];
  private readonly wakeup = new Wakeup();

  constructor(
    private readonly trail: AuditTrail,
    private readonly clock: Clock,
  ) {}

  add(entry: AuditEntry): void {
    this.waiting = [...this.waiting, entry].slice(-MOST_WAITING);
    this.wakeup.notify();
  }

  /** The task that writes what waits, together and not too often. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.waiting.length === 0) await this.wakeup.wait(signal);
      await this.flush();
      const next = this.clock.now() + INTERVAL_MILLISECONDS;
      await this.clock.sleepUntil(next, signal);
    }
  }

  /** Writes the oldest that wait; they wait on when the store is away. */
  async flush(): Promise<void> {
    const batch = this.waiting.slice(0, MOST_TOGETHER);
    if (batch.length === 0) return;
    try {
      await this.trail.append(batch);
      this.waiting = this.waiting.filter(entry => !batch.includes(entry));
    } catch {
      // The next round tries again; a lost reply may record a batch twice.
    }
  }
}
