import {toChicoryspringError} from '@chicoryspring/contracts';
import type {HttpAnswer} from './http_answer_types.js';
import {jsonAnswer} from './json_answer.js';

const RETRY_AFTER_SECONDS = '1';
/** Another process serves the repeat, on a new connection. */
const RETRY_AFTER_DRAINING_SECONDS = '0';

/**
 * Creates the answer to anything thrown.
 *
 * `ERROR_TABLE` gives the status, whether the request took effect, and
 * whether it may be repeated.
 */
export function errorAnswer(thrown: unknown): HttpAnswer {
  const error = toChicoryspringError(thrown);
  const {status, outcome, mayRepeat} = error.answer;
  const {kind, message, details} = error;
  const retryAfter =
    kind === 'draining' ? RETRY_AFTER_DRAINING_SECONDS : RETRY_AFTER_SECONDS;
  return jsonAnswer(
    status,
    {kind, message, details, outcome, mayRepeat},
    {
      'chicoryspring-outcome': outcome,
      ...(mayRepeat ? {'retry-after': retryAfter} : {}),
    },
  );
}
