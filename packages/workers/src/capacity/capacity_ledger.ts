import {
  ChicoryspringError,
  ResourcesArithmetic,
  type Resources,
} from '@chicoryspring/contracts';

/**
 * Reservations of one worker's capacity.
 *
 * All reservations go through this class. `reserve` accepts or rejects a demand
 * in one step, so it never reserves beyond the capacity. Only `restore` may.
 */
export class CapacityLedger {
  private readonly reservations = new Map<string, Resources>();
  private reserved: Resources = ResourcesArithmetic.none;

  constructor(readonly capacity: Resources) {}

  get free(): Resources {
    return ResourcesArithmetic.subtract(this.capacity, this.reserved);
  }

  /**
   * Reserves the demand for a task.
   *
   * @throws {ChicoryspringError} `capacity-exceeded` if it does not fit, and
   * `stale-epoch` if the task has a reservation already
   */
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

  /** Reserves for a task that runs already, even beyond the capacity. */
  restore(taskId: string, demand: Resources): void {
    this.release(taskId);
    this.reservations.set(taskId, demand);
    this.reserved = ResourcesArithmetic.add(this.reserved, demand);
  }

  /** Releases the reservation of a task; does nothing if there is none. */
  release(taskId: string): void {
    const demand = this.reservations.get(taskId);
    if (!demand) return;
    this.reservations.delete(taskId);
    this.reserved = ResourcesArithmetic.subtract(this.reserved, demand);
  }
}
