import type {ReservedCapacity} from './reserved_capacity_types.js';

/** Where a task or a gang is expected to fit, and from when on. */
export interface ReservationPlan {
  readonly parts: readonly ReservedCapacity[];
  /** Local instant. */
  readonly from: number;
}
