/**
 * Result of a call to the store. The rate limit of the process causes `delayed`
 * and `refused`; a delayed call is counted again at its end, a refused one is
 * not sent.
 */
type CallResult = 'answered' | 'failed' | 'delayed' | 'refused';

/** Counts the calls to the store by kind and result. */
export class CallCounts {
  private readonly counts = new Map<string, number>();

  add(kind: string, result: CallResult): void {
    const name = `${kind}.${result}`;
    this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
  }

  /** Counts by `KIND.RESULT`, for example `transact.answered`. */
  get all(): ReadonlyMap<string, number> {
    return new Map(this.counts);
  }
}
