import {ChicoryspringError} from '@chicoryspring/contracts';
import type {Caller} from '../identity/caller_types.js';

/** Limits the requests of each caller in progress at this entry. */
export class CallerConcurrencyLimiter {
  private readonly inProgress = new Map<string, number>();

  /** @param entryCount number of entries that share a caller's limit equally */
  constructor(private readonly entryCount: () => number) {}

  /**
   * Executes the work of a caller.
   *
   * @throws {ChicoryspringError} `caller-limited` at the caller's limit
   */
  async execute<T>(caller: Caller, work: () => Promise<T>): Promise<T> {
    const {name} = caller;
    const current = this.inProgress.get(name) ?? 0;
    if (current >= this.limitOf(caller)) {
      const message = `${name} has ${current} requests in progress here`;
      throw new ChicoryspringError('caller-limited', message);
    }
    this.inProgress.set(name, current + 1);
    try {
      return await work();
    } finally {
      this.release(name);
    }
  }

  private limitOf({requestsInProgress}: Caller): number {
    return Math.ceil(requestsInProgress / Math.max(1, this.entryCount()));
  }

  private release(name: string): void {
    const remaining = this.inProgress.get(name)! - 1;
    if (remaining > 0) this.inProgress.set(name, remaining);
    else this.inProgress.delete(name);
  }
}
