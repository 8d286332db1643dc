/**
 * Whether a process is suspended: nothing in it runs, and what reaches it in the
 * meantime waits until it goes on.
 */
export class ProcessSuspension {
  private suspended: Promise<void> | undefined;
  private end: () => void = () => undefined;

  get isSuspended(): boolean {
    return this.suspended !== undefined;
  }

  /** Suspends the process until it is resumed. */
  suspend(): void {
    if (this.isSuspended) return;
    this.suspended = new Promise(resolve => (this.end = resolve));
  }

  /** Lets the process go on; what has waited runs in the order of its arrival. */
  resume(): void {
    this.suspended = undefined;
    this.end();
  }

  /** Resolves once the process runs; it may have been suspended again before. */
  async awake(): Promise<void> {
    while (this.suspended) await this.suspended;
  }

  /** Runs the action, at once or when the process goes on. */
  whenAwake(action: () => void): void {
    if (this.isSuspended) void this.awake().then(action);
    else action();
  }
}
