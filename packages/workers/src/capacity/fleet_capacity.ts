import {ResourcesArithmetic, type Resources} from '@chicoryspring/contracts';

/** Time after the first announcement in which the fleet may be incomplete. */
const DISCOVERY_MILLISECONDS = 30_000;

/**
 * The sizes of workers that were ever announced to this process.
 *
 * A worker that is not linked at the moment may come back, so its size stays.
 */
export class FleetCapacity {
  private readonly capacities = new Map<string, Resources>();
  private discoveryDeadline = Infinity;

  /** Takes in the size of a worker. */
  recordAnnouncement(capacity: Resources, now: number): void {
    const {processors, memoryMebibytes, accelerators} = capacity;
    const key = `${processors}/${memoryMebibytes}/${accelerators}`;
    this.capacities.set(key, capacity);
    const deadline = now + DISCOVERY_MILLISECONDS;
    this.discoveryDeadline = Math.min(this.discoveryDeadline, deadline);
  }

  /** Whether no worker, however idle, could ever hold the demand. */
  fitsNoWorker(demand: Resources, now: number): boolean {
    if (now < this.discoveryDeadline) return false;
    for (const capacity of this.capacities.values()) {
      if (ResourcesArithmetic.fits(demand, capacity)) return false;
    }
    return true;
  }
}
