import type {Clock} from '../clock/clock_types.js';

/**
 * Lets a background loop wait until another part of the process has work for
 * it.
 *
 * A notification without a waiter is kept for the next wait, so none is lost
 * between a check for work and the wait.
 */
export class Wakeup {
  private pending = false;
  private wake: (() => void) | undefined;

  /** Wakes the waiter, or makes the next wait return immediately. */
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

  /** The same; resolves at a local instant at the latest. */
  async waitUntil(
    clock: Clock,
    deadline: number,
    signal?: AbortSignal,
  ): Promise<void> {
    const cancel = clock.schedule(deadline, () => this.wake?.());
    await this.wait(signal);
    cancel();
  }
}
