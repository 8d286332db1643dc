import type {ReservedCapacity} from './reserved_capacity_types.js';

/** Where a task or a gang is expected to fit, and from when on. */
export interface ReservationPlan {
  readonly parts: readonly ReservedCapacity[];
  /** Local instant. */
  readonly from: number;
  /**
   * Whether a single run's end makes room for a task on few workers only. Where
   * it does on most, the task starts in its turn without a reservation; in a full
   * fleet that holds for most of what waits.
   */
  readonly isLarge: boolean;
}
