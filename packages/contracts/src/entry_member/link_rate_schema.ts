import * as v from 'valibot';

/** A terabit per second. */
const MAX_MEGABITS_PER_SECOND = 1_000_000;
const RULE = `must be from 0 to ${MAX_MEGABITS_PER_SECOND}`;

/** Schema of the rate of a network connection, in megabits per second. */
export const linkRateSchema = v.pipe(
  v.number(),
  v.minValue(0, RULE),
  v.maxValue(MAX_MEGABITS_PER_SECOND, RULE),
);
