/** Maximum time for which an entry renews without its lease in the store. */
export const OUTAGE_GRACE_MILLISECONDS = 60_000;
