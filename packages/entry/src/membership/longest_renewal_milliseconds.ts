import {ENTRY_LEASE_MILLISECONDS} from './entry_lease_milliseconds.js';
import {OUTAGE_GRACE_MILLISECONDS} from './outage_grace_milliseconds.js';

/**
 * Longest time for which an earlier owner renews after another entry has gained its
 * shards: the store may end a lease before its owner counts it as over, and then the
 * grace period begins.
 */
export const LONGEST_RENEWAL_MILLISECONDS =
  ENTRY_LEASE_MILLISECONDS + OUTAGE_GRACE_MILLISECONDS;
