/** Callbacks of those who wait for a change of a task, by task. */
export class TaskWaiters {
  private readonly waiters = new Map<string, Set<() => void>>();

  /** Adds a callback for the next change; returns a function to remove it. */
  add(taskId: string, wake: () => void): () => void {
    const waiting = this.waiters.get(taskId) ?? new Set();
    this.waiters.set(taskId, waiting.add(wake));
    return () => {
      waiting.delete(wake);
      const isLast = waiting.size === 0;
      if (isLast && this.waiters.get(taskId) === waiting) {
        this.waiters.delete(taskId);
      }
    };
  }

  wake(taskId: string): void {
    const waiting = this.waiters.get(taskId);
    this.waiters.delete(taskId);
    for (const wake of waiting ?? []) wake();
  }
}
