/** Anything that happens at an instant, in milliseconds. */
interface Timed {
  readonly instant: number;
}

/** Values in the order of their instants in virtual time. */
export class VirtualQueue<T extends Timed = Timed> {
  private readonly values: T[] = [];

  get size(): number {
    return this.values.length;
  }

  add(value: T): void {
    let low = 0;
    let high = this.values.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.values[middle]!.instant <= value.instant) low = middle + 1;
      else high = middle;
    }
    this.values.splice(low, 0, value);
  }

  /** Takes every value up to an instant, in order. */
  takeUntil(instant: number): readonly T[] {
    const end = this.values.findIndex(value => value.instant > instant);
    return this.values.splice(0, end < 0 ? this.values.length : end);
  }
}
