/** An item that waits on behalf of a caller. */
interface QueuedItem {
  readonly caller: string;
}

/**
 * A bounded queue that serves callers round robin.
 *
 * A full queue sheds the newest item of the caller with the most items, so that
 * a burst of one caller displaces no items of the others.
 */
export class FairQueue<T extends QueuedItem> {
  private readonly byCaller = new Map<string, readonly T[]>();
  private count = 0;

  constructor(private readonly maxSize: number) {}

  get size(): number {
    return this.count;
  }

  /** Adds an item; returns the shed item, which may be the added one. */
  add(item: T): T | undefined {
    const own = this.byCaller.get(item.caller) ?? [];
    this.byCaller.set(item.caller, [...own, item]);
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
    const [caller, items] = next;
    const [first, ...others] = items;
    this.byCaller.delete(caller);
    if (others.length > 0) this.byCaller.set(caller, others);
    this.count -= 1;
    return first;
  }

  /** Removes an item that is no longer waited for; does nothing if absent. */
  remove(item: T): void {
    const items = this.byCaller.get(item.caller) ?? [];
    const others = items.filter(one => one !== item);
    if (others.length === items.length) return;
    this.count -= 1;
    if (others.length > 0) this.byCaller.set(item.caller, others);
    else this.byCaller.delete(item.caller);
  }

  private longestQueue(): readonly T[] {
    const queues = [...this.byCaller.values()];
    return queues.reduce((longest, one) =>
      one.length > longest.length ? one : longest,
    );
  }
}
