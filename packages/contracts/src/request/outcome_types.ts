/**
 * What is known about a request.
 *
 * `not-run` is said only when it is certain that no target began it.
 */
export type Outcome = 'answered' | 'not-run' | 'unknown';
