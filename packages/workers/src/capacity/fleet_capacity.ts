import {ResourcesArithmetic, type Resources} from '@chicoryspring/contracts';

/** Time after the first announcement in which the fleet may be incomplete. */
const DISCOVERY_MILLISECONDS = 30_000;

/**
 * The capacities of all workers ever announced to this process.
 *
 * The capacity of an unlinked worker is kept, since the worker may come back.
 */
export class FleetCapacity {
  private readonly capacities = new Map<string, Resources>();
  private discoveryDeadline = Infinity;

  /** Records the capacity of an announced worker. */
  recordAnnouncement(capacity: Resources, now: number): void {
    const {processors, memoryMebibytes, accelerators} = capacity;
    const key = `${processors}/${memoryMebibytes}/${accelerators}`;
    this.capacities.set(key, capacity);
    const deadline = now + DISCOVERY_MILLISECONDS;
    this.discoveryDeadline = Math.min(this.discoveryDeadline, deadline);
  }

  /** Whether the demand exceeds the total capacity of every known worker. */
  fitsNoWorker(demand: Resources, now: number): boolean {
    if (now < this.discoveryDeadline) return false;
    for (const capacity of this.capacities.values()) {
      if (ResourcesArithmetic.fits(demand, capacity)) return false;
    }
    return true;
  }
}
