/**
 * Lets one task sleep until another has work for it.
 *
 * A notification that comes while nobody waits is kept, so none is missed
 * between the check and the wait.
 */
export class Wakeup {
  private pending = false;
  private wake: (() => void) | undefined;

  /** Wakes the waiting task, or lets the next wait pass at once. */
  notify(): void {
    this.pending = true;
    this.wake?.();
  }

  /** Resolves after a notification, or when the signal aborts. */
  async wait(signal?: AbortSignal): Promise<void> {
    if (!this.pending && !signal?.aborted) {
      await new Promise<void>(resolve => {
        const wake = () => {
          signal?.removeEventListener('abort', wake);
          resolve();
        };
        this.wake = wake;
        signal?.addEventListener('abort', wake, {once: true});
      });
    }
    this.wake = undefined;
    this.pending = false;
  }
}
