import type {Clock} from './clock_types.js';

/** Maximum delay of a timer in Node.js. */
const MAX_TIMER_MILLISECONDS = 2_147_483_647;

/** Monotonic clock of the process, offset by the wall time of its start. */
export class SystemClock implements Clock {
  now(): number {
    return performance.timeOrigin + performance.now();
  }

  schedule(deadline: number, action: () => void): () => void {
    const wait = Math.min(deadline - this.now(), MAX_TIMER_MILLISECONDS);
    const timer = setTimeout(action, Math.max(0, wait));
    return () => clearTimeout(timer);
  }

  async sleepUntil(deadline: number, signal?: AbortSignal): Promise<void> {
    const wait = Math.min(deadline - this.now(), MAX_TIMER_MILLISECONDS);
    if (wait <= 0 || signal?.aborted) return;
    await new Promise<void>(resolve => {
      const wake = () => {
        clearTimeout(timer);
        signal?.removeEventListener('abort', wake);
        resolve();
      };
      const timer = setTimeout(wake, wait);
      signal?.addEventListener('abort', wake, {once: true});
    });
  }
}
