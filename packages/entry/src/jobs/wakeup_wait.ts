import type {Clock, Wakeup} from '@chicoryspring/contracts';

/** Waits for a notification, at most for the given time. */
export async function waitForWakeup(
  clock: Clock,
  wakeup: Wakeup,
  milliseconds: number,
  signal: AbortSignal,
): Promise<void> {
  const completion = new AbortController();
  await Promise.race([
    wakeup.wait(AbortSignal.any([completion.signal, signal])),
    clock.sleepUntil(clock.now() + milliseconds, completion.signal),
  ]);
  completion.abort();
}
