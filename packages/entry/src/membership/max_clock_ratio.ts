/** Greatest ratio of the rates of the clocks of two entries. */
export const MAX_CLOCK_RATIO = 1.02;
