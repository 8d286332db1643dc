import type {TimeTotals} from './time_totals_types.js';

/** Log fields of the time of a job by cause. */
export function timeFields(totals: TimeTotals) {
  return {
    roomMilliseconds: Math.round(totals.room),
    orderedMilliseconds: Math.round(totals.ordered),
    repeatMilliseconds: Math.round(totals.repeat),
    paceMilliseconds: Math.round(totals.pace),
    stragglerMilliseconds: Math.round(totals.straggler),
    workMilliseconds: Math.round(totals.work),
  };
}
