import type {StopSchedule} from './stop_schedule_types.js';
import type {StopTerms} from './stop_terms_types.js';

/** Share of the grace period that is left for the end of the process. */
const END_SHARE = 1 / 15;
/** Share of the grace period, before its end, for closing after the answers. */
const CLOSING_SHARE = 1 / 15;

/**
 * Plans the stop of a process backwards from the end of its grace period: a
 * request is accepted only if the usual wait ends before answers are due.
 */
export function planStop(begun: number, terms: StopTerms): StopSchedule {
  const {graceMilliseconds, noticeMilliseconds, holdMilliseconds} = terms;
  const deadline = begun + graceMilliseconds * (1 - END_SHARE);
  const answersDue = deadline - graceMilliseconds * CLOSING_SHARE;
  const lastAcceptance = Math.max(begun, answersDue - holdMilliseconds);
  const noticeEnds = Math.min(begun + noticeMilliseconds, lastAcceptance);
  return {begun, noticeEnds, lastAcceptance, answersDue, deadline};
}
