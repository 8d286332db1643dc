/** Instant until which each owned task may still run on its worker. */
export class TaskLeases {
  private readonly deadlines = new Map<string, number>();

  /** Extends the lease of a task; a deadline never moves back. */
  extend(taskId: string, deadline: number): void {
    const known = this.deadlines.get(taskId) ?? 0;
    this.deadlines.set(taskId, Math.max(known, deadline));
  }

  /** Whether the lease has certainly expired; false without a lease. */
  hasExpired(taskId: string, now: number): boolean {
    return now >= (this.deadlines.get(taskId) ?? Infinity);
  }

  /** Removes the leases of all tasks for which `isKept` returns false. */
  retainOnly(isKept: (taskId: string) => boolean): void {
    for (const taskId of this.deadlines.keys()) {
      if (!isKept(taskId)) this.deadlines.delete(taskId);
    }
  }

  remove(taskId: string): void {
    this.deadlines.delete(taskId);
  }
}
