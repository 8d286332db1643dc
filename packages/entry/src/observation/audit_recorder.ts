import {Wakeup, type Clock} from '@chicoryspring/contracts';
import type {AuditEntry, AuditTrail} from '@chicoryspring/configuration';

/** Maximum number of unwritten entries; beyond it the oldest are dropped. */
const MAX_PENDING_ENTRIES = 2_000;
/** Maximum number of entries in one write; they fit in two trail pages. */
const MAX_BATCH_ENTRIES = 200;
/** Minimum time between two writes, to stay within the store's budget. */
const WRITE_INTERVAL_MILLISECONDS = 1_000;

/**
 * Writes audit entries of the system's own actions after they have happened.
 *
 * The actions themselves are durable in their own records; entries that are
 * not yet written are lost with the process.
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

  /** Background loop: writes pending entries in batches at an interval. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.pending.length === 0) await this.wakeup.wait(signal);
      await this.flush();
      const next = this.clock.now() + WRITE_INTERVAL_MILLISECONDS;
      await this.clock.sleepUntil(next, signal);
    }
  }

  /** Writes the oldest entries; they stay pending if the write fails. */
  async flush(): Promise<void> {
    const batch = this.pending.slice(0, MAX_BATCH_ENTRIES);
    if (batch.length === 0) return;
    try {
      await this.trail.append(batch);
      this.pending = this.pending.filter(entry => !batch.includes(entry));
    } catch {
      // The next round retries; after a lost reply a batch is recorded twice.
    }
  }
}
