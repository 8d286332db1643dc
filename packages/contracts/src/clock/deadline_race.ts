import type {Clock} from './clock_types.js';

/** Waits for the work or the deadline, whichever is first. */
export async function raceDeadline<T>(
  clock: Clock,
  deadline: number,
  work: Promise<T>,
  onDeadline: () => Error,
): Promise<T> {
  const finished = new AbortController();
  const passed = clock.sleepUntil(deadline, finished.signal).then(() => {
    if (finished.signal.aborted) return undefined as never;
    throw onDeadline();
  });
  try {
    return await Promise.race([work, passed]);
  } finally {
    finished.abort();
    passed.catch(() => undefined);
  }
}
