/** Most refusals in a report; the oldest are dropped. */
export const MAX_REPORTED_REFUSALS = 64;
