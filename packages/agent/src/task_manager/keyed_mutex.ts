/** Mutual exclusion by key, first come first served. */
export class KeyedMutex {
  private readonly last = new Map<string, Promise<unknown>>();

  /** Runs a step once all earlier steps of the same key have completed. */
  async runExclusive<Result>(
    key: string,
    step: () => Promise<Result>,
  ): Promise<Result> {
    const previous = this.last.get(key) ?? Promise.resolve();
    const current = previous.catch(() => undefined).then(step);
    this.last.set(key, current);
    try {
      return await current;
    } finally {
      if (this.last.get(key) === current) this.last.delete(key);
    }
  }
}
