import type {Clock} from './clock_types.js';

/** Settles as the work does; rejects with `onDeadline()` at the deadline. */
export async function withDeadline<T>(
  clock: Clock,
  deadline: number,
  work: Promise<T>,
  onDeadline: () => Error,
): Promise<T> {
  return await new Promise<T>((resolve, reject) => {
    const cancel = clock.schedule(deadline, () => reject(onDeadline()));
    work.then(resolve, reject).finally(cancel);
  });
}
