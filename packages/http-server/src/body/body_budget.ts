import {ChicoryspringError, type Clock} from '@chicoryspring/contracts';
import type {BudgetedBody} from './budgeted_body_types.js';

/** Time in which a body arrives before another may claim its bytes. */
const PROTECTED_MILLISECONDS = 1_000;

interface Holding {
  readonly bytes: number;
  readonly begunAt: number;
}

/**
 * Bytes of bodies in flight, shared by the listeners of a process.
 *
 * A body holds its bytes until its request has its answer. While the budget is
 * spent, the body that has been arriving longest gives its bytes up, so that
 * clients who stop before the end can't keep the others out.
 */
export class BodyBudget {
  private used = 0;
  /** What arriving bodies hold, the one that began first in front. */
  private readonly arriving = new Map<BudgetedBody, Holding>();
  /** Bytes of the bodies that have arrived and wait for their answers. */
  private readonly arrived = new Map<BudgetedBody, number>();

  constructor(
    private readonly capacityBytes: number,
    private readonly clock: Clock,
  ) {}

  get usedBytes(): number {
    return this.used;
  }

  /** Takes bytes for an arriving body; throws `overloaded` if none are left. */
  take(body: BudgetedBody, bytes: number): void {
    this.reclaim(body, this.used + bytes - this.capacityBytes);
    if (this.used + bytes > this.capacityBytes) throw overloaded();
    const now = this.clock.now();
    const holding = this.arriving.get(body) ?? {bytes: 0, begunAt: now};
    const total = holding.bytes + bytes;
    this.arriving.set(body, {...holding, bytes: total});
    this.used += bytes;
  }

  /** The body has arrived: it keeps its bytes until its release. */
  keep(body: BudgetedBody): void {
    const holding = this.arriving.get(body);
    if (!holding) return;
    this.arriving.delete(body);
    this.arrived.set(body, holding.bytes);
  }

  /** Returns what the body holds; without effect if it holds nothing. */
  release(body: BudgetedBody): void {
    const {bytes = 0} = this.arriving.get(body) ?? {};
    this.used -= bytes + (this.arrived.get(body) ?? 0);
    this.arriving.delete(body);
    this.arrived.delete(body);
  }

  /** Takes bytes from the bodies that have been arriving longest. */
  private reclaim(claimant: BudgetedBody, missingBytes: number): void {
    const lastBegun = this.clock.now() - PROTECTED_MILLISECONDS;
    let missing = missingBytes;
    for (const [body, {bytes, begunAt}] of this.arriving) {
      const isProtected = begunAt > lastBegun;
      if (missing <= 0 || body === claimant || isProtected) return;
      missing -= bytes;
      this.release(body);
      body.giveUp(overloaded());
    }
  }
}

function overloaded(): ChicoryspringError {
  const message = 'too many bodies are arriving';
  return new ChicoryspringError('overloaded', message);
}
