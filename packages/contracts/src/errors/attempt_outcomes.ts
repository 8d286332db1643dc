import type {ChicoryspringError} from './chicoryspring_error.js';

/**
 * What the failed attempts at one request let its caller conclude.
 *
 * Once one attempt may have run, no later refusal says that it did not.
 */
export class AttemptOutcomes {
  private uncertain: ChicoryspringError | undefined;

  /** Notes a failed attempt; returns the error to answer if none follows. */
  recordFailure(error: ChicoryspringError): ChicoryspringError {
    if (error.answer.outcome === 'unknown') this.uncertain = error;
    return this.uncertain ?? error;
  }
}
