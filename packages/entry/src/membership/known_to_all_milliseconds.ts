import {OUTAGE_GRACE_MILLISECONDS} from './outage_grace_milliseconds.js';

/** Longer than the validity of a read of the entries, and of a lease. */
const READ_MARGIN_MILLISECONDS = 10_000;

/**
 * Time for which an entry has to be registered until every owner in a grace period
 * knows it: a grace period that began before that is over.
 */
export const KNOWN_TO_ALL_MILLISECONDS =
  OUTAGE_GRACE_MILLISECONDS + READ_MARGIN_MILLISECONDS;
