/**
 * How long a task is kept apart from others that begin on its worker: `brief` for
 * one that may crash its worker as it starts, `long` for one that may do so later.
 */
export type IsolationLength = 'brief' | 'long';
