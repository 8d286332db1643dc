import type {RunEnding, RunEndingCause} from '@chicoryspring/contracts';

/** Causes that count for a task, as its end or as one of its attempts. */
const COUNTED_CAUSES = new Set<RunEndingCause>(['done', 'failed']);

/** Endings that a worker lists, until they are settled and acknowledged. */
export class EndingList {
  private readonly unsettledByNumber = new Map<number, RunEnding>();
  /** Settled endings above a number that is not settled yet. */
  private readonly settled = new Set<number>();
  private acknowledged: number | undefined;
  /** Highest number that was listed. */
  private lastNumber = 0;
  /** Highest number that was listed when the lease last expired. */
  private lastExpiredNumber = 0;

  /** Endings up to this number are settled, so the worker may forget them. */
  get acknowledgedUpTo(): number {
    return this.acknowledged ?? 0;
  }

  /** Endings that no owner has settled yet. */
  get unsettled(): readonly RunEnding[] {
    return [...this.unsettledByNumber.values()];
  }

  /**
   * Unsettled endings that count for their tasks while the lease lasts.
   *
   * An owner that gives the run up starts the task anew, although it has ended.
   * An ending before an expiry of the lease is void by then.
   */
  get coveredByLease(): readonly RunEnding[] {
    return this.unsettled.filter(
      ({number, cause}) =>
        number > this.lastExpiredNumber && COUNTED_CAUSES.has(cause),
    );
  }

  /** Records that the worker's lease has expired. */
  recordLeaseExpiry(): void {
    this.lastExpiredNumber = this.lastNumber;
  }

  /** Merges the worker's list; returns the new endings. */
  merge(endings: readonly RunEnding[]): readonly RunEnding[] {
    const [first] = endings;
    // The worker has forgotten lower numbers, because an earlier incarnation of
    // the agent acknowledged them.
    if (first) this.acknowledged ??= first.number - 1;
    const added = endings.filter(one => this.isNew(one.number));
    for (const ending of added) {
      this.unsettledByNumber.set(ending.number, ending);
      this.lastNumber = Math.max(this.lastNumber, ending.number);
    }
    return added;
  }

  /** Marks endings as settled; false if none of them was unsettled. */
  settle(numbers: readonly number[]): boolean {
    const newlySettled = numbers.filter(number =>
      this.unsettledByNumber.delete(number),
    );
    for (const number of newlySettled) this.settled.add(number);
    while (this.settled.delete(this.acknowledgedUpTo + 1)) {
      this.acknowledged = this.acknowledgedUpTo + 1;
    }
    return newlySettled.length > 0;
  }

  private isNew(number: number): boolean {
    const isAcknowledged = number <= this.acknowledgedUpTo;
    return (
      !isAcknowledged &&
      !this.unsettledByNumber.has(number) &&
      !this.settled.has(number)
    );
  }
}
