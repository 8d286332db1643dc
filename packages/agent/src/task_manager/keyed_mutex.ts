/** Runs the steps that concern one task one after another. */
export class KeyedMutex {
  private readonly last = new Map<string, Promise<unknown>>();

  /** Runs a step once the earlier steps of the same task are done. */
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
