import type {HttpAnswer} from './http_answer_types.js';

/** Creates an answer with a JSON body. */
export function jsonAnswer(
  status: number,
  value: unknown,
  headers?: Readonly<Record<string, string>>,
): HttpAnswer {
  const body = JSON.stringify(value);
  return {status, contentType: 'application/json', body, headers};
}
