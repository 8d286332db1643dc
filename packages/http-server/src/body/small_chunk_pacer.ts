import type {Clock} from '@chicoryspring/contracts';

/** A block of one-byte chunks takes some milliseconds of the processor. */
const INTERVAL_MILLISECONDS = 50;

/**
 * Lets bodies that arrive in small chunks go on one after the other, so that the
 * listeners of a process spend a small part of its processor on their chunks.
 */
export class SmallChunkPacer {
  private readonly waiting = new Set<() => void>();
  private lastTurn = -Infinity;
  private isScheduled = false;

  constructor(private readonly clock: Clock) {}

  /** Calls back when it is the body's turn; the function returned cancels it. */
  wait(proceed: () => void): () => void {
    this.waiting.add(proceed);
    this.scheduleTurn();
    return () => this.waiting.delete(proceed);
  }

  private scheduleTurn(): void {
    if (this.isScheduled || this.waiting.size === 0) return;
    this.isScheduled = true;
    const due = this.lastTurn + INTERVAL_MILLISECONDS;
    this.clock.schedule(Math.max(due, this.clock.now()), () => this.turn());
  }

  private turn(): void {
    this.isScheduled = false;
    const [proceed] = this.waiting;
    if (!proceed) return;
    this.waiting.delete(proceed);
    this.lastTurn = this.clock.now();
    proceed();
    this.scheduleTurn();
  }
}
