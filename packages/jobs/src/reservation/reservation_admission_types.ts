/**
 * Why a run may start on a worker: nothing is reserved there (`free`), it is
 * reserved for its step (`own`), the run fits beside the reserved capacity
 * (`beside`), it is expected to end before that is needed (`before`), its
 * priority is higher (`bypass`), or it is long-running (`lasting`).
 */
export type ReservationAdmission =
  'free' | 'own' | 'beside' | 'before' | 'bypass' | 'lasting';
