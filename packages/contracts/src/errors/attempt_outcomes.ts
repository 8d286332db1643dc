import type {ChicoryspringError} from './chicoryspring_error.js';

/**
 * Combines the failed attempts at one request into the error for its caller.
 *
 * Once one attempt has an unknown outcome, the request does. A later failure
 * that says `not-run` does not change this.
 */
export class AttemptOutcomes {
  private unknownOutcomeError: ChicoryspringError | undefined;

  /** Records a failed attempt; returns the error to use if it is the last. */
  recordFailure(error: ChicoryspringError): ChicoryspringError {
    if (error.answer.outcome === 'unknown') this.unknownOutcomeError = error;
    return this.unknownOutcomeError ?? error;
  }
}
