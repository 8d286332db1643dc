import type {RunStartAnswer} from '@chicoryspring/agent';
import type {CallFate} from './call_fate_types.js';

/** Answers that a worker gives for reasons of its own, and does nothing. */
type Rejection = Extract<
  RunStartAnswer,
  'old' | 'late' | 'fenced' | 'room' | 'ticket' | 'unhealthy' | 'malformed'
>;

/** What becomes of a start order. */
export type StartFate = CallFate | {readonly answer: Rejection};
