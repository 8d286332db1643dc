/** Mutual exclusion by key, first come first served. */
export class KeyedMutex {
  private readonly lastStepByKey = new Map<string, Promise<unknown>>();

  /** Runs a step once all earlier steps of the same key have completed. */
  async runExclusive<Result>(
    key: string,
    step: () => Promise<Result>,
  ): Promise<Result> {
    const previous = this.lastStepByKey.get(key) ?? Promise.resolve();
    // Only the caller of the earlier step receives its error.
    const current = previous.catch(() => undefined).then(step);
    this.lastStepByKey.set(key, current);
    try {
      return await current;
    } finally {
      if (this.lastStepByKey.get(key) === current)
        this.lastStepByKey.delete(key);
    }
  }
}
