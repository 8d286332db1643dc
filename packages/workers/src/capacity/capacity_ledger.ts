import {
  ChicoryspringError,
  ResourcesArithmetic,
  type Resources,
} from '@chicoryspring/contracts';

/**
 * What is committed on one worker; the only place that commits it.
 *
 * A reservation is taken or refused in one step, so the worker is never
 * committed beyond its capacity.
 */
export class CapacityLedger {
  private readonly reservations = new Map<string, Resources>();
  private reserved: Resources = ResourcesArithmetic.none;

  constructor(readonly capacity: Resources) {}

  get free(): Resources {
    return ResourcesArithmetic.subtract(this.capacity, this.reserved);
  }

  /** Reserves the demand for a task, or fails with `capacity-exceeded`. */
  reserve(taskId: string, demand: Resources): void {
    if (this.reservations.has(taskId)) {
      const message = `${taskId} is reserved already`;
      throw new ChicoryspringError('stale-epoch', message);
    }
    if (!ResourcesArithmetic.fits(demand, this.free)) {
      const message = `${taskId} does not fit the free capacity`;
      throw new ChicoryspringError('capacity-exceeded', message);
    }
    this.reservations.set(taskId, demand);
    this.reserved = ResourcesArithmetic.add(this.reserved, demand);
  }

  /** Counts a task that runs already, also where it does not fit. */
  restore(taskId: string, demand: Resources): void {
    this.release(taskId);
    this.reservations.set(taskId, demand);
    this.reserved = ResourcesArithmetic.add(this.reserved, demand);
  }

  /** Frees the reservation of a task; does nothing when there is none. */
  release(taskId: string): void {
    const demand = this.reservations.get(taskId);
    if (!demand) return;
    this.reservations.delete(taskId);
    this.reserved = ResourcesArithmetic.subtract(this.reserved, demand);
  }
}
