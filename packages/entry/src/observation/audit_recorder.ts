import {Wakeup, type Clock} from '@chicoryspring/contracts';
import type {AuditEntry, AuditTrail} from '@chicoryspring/configuration';

/** Most entries that wait for the store; the oldest give way. */
const MAX_PENDING_ENTRIES = 2_000;
/** Most entries of one write, which fit the values of two pages. */
const MAX_BATCH_ENTRIES = 200;
/** Time between two writes, which keeps the trail within the store's budget. */
const WRITE_INTERVAL_MILLISECONDS = 1_000;

/**
 * Records what the system does by itself, after it has happened.
 *
 * Such changes are durable in their own records; what waits here is lost with
 * the process.
 */
export class AuditRecorder {
  private pending: readonly AuditEntry[] = [];
  private readonly wakeup = new Wakeup();

  constructor(
    private readonly trail: AuditTrail,
    private readonly clock: Clock,
  ) {}

  add(entry: AuditEntry): void {
    this.pending = [...this.pending, entry].slice(-MAX_PENDING_ENTRIES);
    this.wakeup.notify();
  }

  /** The task that writes what waits, together and not too often. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.pending.length === 0) await this.wakeup.wait(signal);
      await this.flush();
      const next = this.clock.now() + WRITE_INTERVAL_MILLISECONDS;
      await this.clock.sleepUntil(next, signal);
    }
  }

  /** Writes the oldest that wait; they wait on when the store is away. */
  async flush(): Promise<void> {
    const batch = this.pending.slice(0, MAX_BATCH_ENTRIES);
    if (batch.length === 0) return;
    try {
      await this.trail.append(batch);
      this.pending = this.pending.filter(entry => !batch.includes(entry));
    } catch {
      // The next round tries again; a lost reply may record a batch twice.
    }
  }
}
