/** Anything that waits on behalf of a caller. */
interface Queued {
  readonly caller: string;
}

/**
 * A bounded queue that serves callers in turn.
 *
 * When it is full, the newest of the caller with the most entries is shed, so
 * that a storm of one caller costs the others no place.
 */
export class FairQueue<T extends Queued> {
  private readonly byCaller = new Map<string, readonly T[]>();
  private count = 0;

  constructor(private readonly maxSize: number) {}

  get size(): number {
    return this.count;
  }

  /** Adds an entry; returns the one that is shed for it, perhaps itself. */
  add(entry: T): T | undefined {
    const own = this.byCaller.get(entry.caller) ?? [];
    this.byCaller.set(entry.caller, [...own, entry]);
    this.count += 1;
    if (this.count <= this.maxSize) return undefined;
    const shed = this.longestQueue().at(-1)!;
    this.remove(shed);
    return shed;
  }

  /** Takes the oldest entry of the caller whose turn it is. */
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

  /** Removes an entry that nobody waits for any more. */
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
