import type {FailedAttempt} from './failed_attempt_types.js';

/** Says what becomes of a task after a failed attempt. */
export interface AttemptPolicy {
  decide(attempt: FailedAttempt): 'retry' | 'quarantine';
}
