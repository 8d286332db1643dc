import type {RunEnding} from '@chicoryspring/contracts';

/** Endings that a worker lists, until they are settled and acknowledged. */
export class EndingList {
  private readonly unsettledByNumber = new Map<number, RunEnding>();
  /** Settled endings above a number that is not settled yet. */
  private readonly settled = new Set<number>();
  private acknowledged: number | undefined;

  /** Endings up to this number are settled, so the worker may forget them. */
  get acknowledgedUpTo(): number {
    return this.acknowledged ?? 0;
  }

  /** Endings that no owner has settled yet. */
  get unsettled(): readonly RunEnding[] {
    return [...this.unsettledByNumber.values()];
  }

  /** Merges the worker's list; returns the new endings. */
  merge(endings: readonly RunEnding[]): readonly RunEnding[] {
    const [first] = endings;
    // The worker has forgotten lower numbers, because an earlier incarnation of
    // the agent acknowledged them.
    if (first) this.acknowledged ??= first.number - 1;
    const added = endings.filter(one => this.isNew(one.number));
    for (const ending of added)
      this.unsettledByNumber.set(ending.number, ending);
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
