import type {RunPlacementRequest} from '../placement/run_placement_request_types.js';
import type {ReservationAdmission} from './reservation_admission_types.js';
import type {Reservation} from './reservation_types.js';

/** Is notified of changes of reservations, and of runs that use their workers. */
export interface ReservationObserver {
  made(reservation: Reservation): void;
  ended(reservation: Reservation, reason: string): void;
  /** A run of another step was started on a reserved worker. */
  backfilled(
    reservation: Reservation,
    request: RunPlacementRequest,
    admission: ReservationAdmission,
  ): void;
}
