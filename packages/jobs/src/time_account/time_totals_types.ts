import type {TimeCause} from './time_cause_types.js';

/** Milliseconds of a job by cause; they add up to its accounted time. */
export type TimeTotals = Readonly<Record<TimeCause, number>>;
