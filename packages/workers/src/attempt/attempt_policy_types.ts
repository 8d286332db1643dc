import type {FailedAttempt} from './failed_attempt_types.js';

/** Decides whether a task is retried after a failed attempt. */
export interface AttemptPolicy {
  decide(attempt: FailedAttempt): 'retry' | 'quarantine';
}
