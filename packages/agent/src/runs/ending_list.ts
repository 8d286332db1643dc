import type {RunEnding} from '@chicoryspring/contracts';

/** The ends that a worker lists, until they are settled and forgotten. */
export class EndingList {
  private readonly unsettledByNumber = new Map<number, RunEnding>();
  private readonly settled = new Set<number>();
  private acknowledged: number | undefined;

  /** Ends up to this number may be forgotten by the worker. */
  get acknowledgedUpTo(): number {
    return this.acknowledged ?? 0;
  }

  /** Ends that no owner has settled yet. */
  get unsettled(): readonly RunEnding[] {
    return [...this.unsettledByNumber.values()];
  }

  /** Takes in the worker's list; returns the ends that are new. */
  merge(endings: readonly RunEnding[]): readonly RunEnding[] {
    const [first] = endings;
    // The worker has forgotten what an earlier life of the agent settled.
    if (first) this.acknowledged ??= first.number - 1;
    const fresh = endings.filter(one => this.isNew(one.number));
    for (const ending of fresh)
      this.unsettledByNumber.set(ending.number, ending);
    return fresh;
  }

  /** Takes note that ends are durable; false when none is new. */
  settle(numbers: readonly number[]): boolean {
    const known = numbers.filter(number =>
      this.unsettledByNumber.delete(number),
    );
    for (const number of known) this.settled.add(number);
    while (this.settled.delete(this.acknowledgedUpTo + 1)) {
      this.acknowledged = this.acknowledgedUpTo + 1;
    }
    return known.length > 0;
  }

  private isNew(number: number): boolean {
    const isForgotten = number <= this.acknowledgedUpTo;
    return (
      !isForgotten &&
      !this.unsettledByNumber.has(number) &&
      !this.settled.has(number)
    );
  }
}
