/**
 * What a log line is about: one request, job or task, of which there may be
 * many, or the state of the process.
 */
export type LineKind = 'request' | 'state';
