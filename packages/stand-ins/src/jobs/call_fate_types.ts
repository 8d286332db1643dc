/**
 * What becomes of a call to a worker.
 *
 * Of a call without an answer the caller learns nothing: `unanswered` was
 * carried out, `lost` never is, and `late` is carried out when the test says.
 */
export type CallFate = 'answered' | 'unanswered' | 'lost' | 'late';
