/**
 * What is known about a request.
 *
 * `not-run` is used only if it is certain that no target started the request.
 */
export type Outcome = 'answered' | 'not-run' | 'unknown';
