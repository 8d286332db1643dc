import {toChicoryspringError} from '@chicoryspring/contracts';
import type {HttpAnswer} from './http_answer_types.js';
import {jsonAnswer} from './json_answer.js';

const RETRY_AFTER_SECONDS = '1';

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
  return jsonAnswer(
    status,
    {kind, message, details, outcome, mayRepeat},
    {
      'chicoryspring-outcome': outcome,
      ...(mayRepeat ? {'retry-after': RETRY_AFTER_SECONDS} : {}),
    },
  );
}
