import {ChicoryspringError} from '@chicoryspring/contracts';
import type {HttpAnswer} from '../answer/http_answer_types.js';

/** A request whose answer is awaited; the wait can be ended before. */
export class RequestInProgress {
  private isRunning = false;
  private reject: (reason: Error) => void = () => undefined;
  private readonly givenUp = new Promise<never>((_, reject) => {
    this.reject = reject;
  });

  constructor() {
    // A request that is given up after its answer has nobody to tell.
    this.givenUp.catch(() => undefined);
  }

  /** Waits for the whole request; it has not run meanwhile. */
  async receive<T>(request: Promise<T>): Promise<T> {
    return await Promise.race([request, this.givenUp]);
  }

  /** Runs the request and waits for its answer. */
  async run(answer: () => Promise<HttpAnswer>): Promise<HttpAnswer> {
    this.isRunning = true;
    return await Promise.race([answer(), this.givenUp]);
  }

  /** Ends the wait; the error says whether the request may have run. */
  giveUp(): void {
    this.reject(
      this.isRunning
        ? new ChicoryspringError('outcome-unknown', 'the process is stopping')
        : new ChicoryspringError('draining', 'the process is stopping'),
    );
  }
}
