import type {Clock} from './clock_types.js';

/**
 * Waits for the work, but not past the deadline. It does not cancel the work
 * and does not throw at the deadline; a failure of the work is thrown.
 */
export async function waitUntilDeadline(
  clock: Clock,
  deadline: number,
  work: Promise<unknown>,
): Promise<void> {
  const sleeping = new AbortController();
  await Promise.race([work, clock.sleepUntil(deadline, sleeping.signal)]);
  sleeping.abort();
}
