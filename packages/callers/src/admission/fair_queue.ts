/** An item that waits on behalf of a caller. */
interface Queued {
  readonly caller: string;
}

/**
 * A bounded queue that serves callers round robin.
 *
 * A full queue sheds the newest item of the caller with the most items, so that
 * a burst of one caller displaces no items of the others.
 */
export class FairQueue<T extends Queued> {
  private readonly byCaller = new Map<string, readonly T[]>();
  private count = 0;

  constructor(private readonly maxSize: number) {}

  get size(): number {
    return this.count;
  }

  /** Adds an item; returns the shed item, which may be the added one. */
  add(entry: T): T | undefined {
    const own = this.byCaller.get(entry.caller) ?? [];
    this.byCaller.set(entry.caller, [...own, entry]);
    this.count += 1;
    if (this.count <= this.maxSize) return undefined;
    const shed = this.longestQueue().at(-1)!;
    this.remove(shed);
    return shed;
  }

  /** Removes and returns the oldest item of the next caller. */
  take(): T | undefined {
    const [next] = this.byCaller;
    if (!next) return undefined;
    const [caller, entries] = next;
    const [first, ...others] = entries;
    this.byCaller.delete(caller);
    if (others.length > 0) this.byCaller.set(caller, others);
    this.count -= 1;
    return first;
  }

  /** Removes an item that is no longer waited for; does nothing if absent. */
  remove(entry: T): void {
    const entries = this.byCaller.get(entry.caller) ?? [];
    const others = entries.filter(one => one !== entry);
    if (others.length === entries.length) return;
    this.count -= 1;
    if (others.length > 0) this.byCaller.set(entry.caller, others);
    else this.byCaller.delete(entry.caller);
  }

  private longestQueue(): readonly T[] {
    const queues = [...this.byCaller.values()];
    return queues.reduce((longest, one) =>
      one.length > longest.length ? one : longest,
    );
  }
}
