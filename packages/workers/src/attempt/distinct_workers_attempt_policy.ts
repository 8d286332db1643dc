import type {AttemptPolicy} from './attempt_policy_types.js';
import type {FailedAttempt} from './failed_attempt_types.js';

/**
 * Retries a task on different workers, then quarantines it.
 *
 * In a fleet with fewer workers than allowed attempts, each worker is tried
 * once.
 */
export class DistinctWorkersAttemptPolicy implements AttemptPolicy {
  decide(attempt: FailedAttempt): 'retry' | 'quarantine' {
    const maxFailures = Math.min(
      attempt.attempts,
      Math.max(1, attempt.fleetSize),
    );
    const failures = new Set(attempt.failedWorkers).size;
    return failures < maxFailures ? 'retry' : 'quarantine';
  }
}
