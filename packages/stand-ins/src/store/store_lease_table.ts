/** A lease with the timer that ends it. */
interface HeldLease {
  readonly seconds: number;
  readonly timer: NodeJS.Timeout;
}

const MILLISECONDS_PER_SECOND = 1_000;

/** The leases of the store stand-in. */
export class StoreLeaseTable {
  private readonly leases = new Map<string, HeldLease>();
  private nextId = 1_000;

  constructor(private readonly onLapse: (id: string) => void) {}

  grant(seconds: number): string {
    this.nextId += 1;
    const id = String(this.nextId);
    this.hold(id, seconds);
    return id;
  }

  /** Seconds of the renewed lease; 0 when it has lapsed. */
  renew(id: string): number {
    const held = this.leases.get(id);
    if (!held) return 0;
    clearTimeout(held.timer);
    this.hold(id, held.seconds);
    return held.seconds;
  }

  /** Gives every lease its whole time again, as a restarted store does. */
  renewAll(): void {
    for (const id of [...this.leases.keys()]) this.renew(id);
  }

  /** Ends a lease at once. */
  end(id: string): void {
    clearTimeout(this.leases.get(id)?.timer);
    this.leases.delete(id);
    this.onLapse(id);
  }

  /** Keeps every lease from lapsing while the store is down. */
  suspend(): void {
    for (const {timer} of this.leases.values()) clearTimeout(timer);
  }

  private hold(id: string, seconds: number): void {
    const limit = seconds * MILLISECONDS_PER_SECOND;
    const timer = setTimeout(() => this.end(id), limit);
    this.leases.set(id, {seconds, timer});
  }
}
