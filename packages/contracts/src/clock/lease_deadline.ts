import type {Clock} from './clock_types.js';

interface Sending {
  readonly steadyInstant: number;
  readonly wallInstant: number;
}

/**
 * The instant until which a lease is certainly held, on two clocks.
 *
 * The steady clock stands still while the machine is suspended. The time of day
 * goes on, but may jump. The lease counts as held only while both say so: a
 * suspension never prolongs it, and a jump shortens it until the next renewal.
 */
export class LeaseDeadline {
  private steadyDeadline = 0;
  private wallDeadline = 0;
  private lastRenewal = -Infinity;

  constructor(
    private readonly clock: Clock,
    /** The time of day in milliseconds since 1970. */
    private readonly timeOfDay: () => number,
  ) {}

  get isHeld(): boolean {
    return this.remainingMilliseconds > 0;
  }

  /** Time for which it is certainly still held; negative after its end. */
  get remainingMilliseconds(): number {
    return Math.min(
      this.steadyDeadline - this.clock.now(),
      this.wallDeadline - this.timeOfDay(),
    );
  }

  /** The deadline on the steady clock. */
  get steadyInstant(): number {
    return this.steadyDeadline;
  }

  /**
   * Steady instant at which the last granted renewal was sent; `-Infinity` without
   * one.
   */
  get renewedAt(): number {
    return this.lastRenewal;
  }

  /** The present, to be taken before a renewal is sent. */
  now(): Sending {
    return {steadyInstant: this.clock.now(), wallInstant: this.timeOfDay()};
  }

  /** Sets the deadline after a renewal that was sent then was granted. */
  renew(sending: Sending, leaseMilliseconds: number): void {
    this.lastRenewal = sending.steadyInstant;
    this.steadyDeadline = sending.steadyInstant + leaseMilliseconds;
    this.wallDeadline = sending.wallInstant + leaseMilliseconds;
  }

  /** The lease has ended. */
  end(): void {
    this.lastRenewal = -Infinity;
    this.steadyDeadline = 0;
    this.wallDeadline = 0;
  }
}
