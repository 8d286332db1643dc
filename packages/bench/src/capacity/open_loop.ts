import {setTimeout as sleep} from 'node:timers/promises';

const TICK_MILLISECONDS = 10;
const MILLISECONDS_PER_SECOND = 1_000;

/** Begins work at a fixed rate, whether or not the earlier work has ended. */
export async function runOpenLoop(
  perSecond: number,
  work: () => Promise<void>,
  signal: AbortSignal,
): Promise<number> {
  const started = performance.now();
  let begun = 0;
  let failed = 0;
  while (!signal.aborted) {
    const seconds = (performance.now() - started) / MILLISECONDS_PER_SECOND;
    for (; begun < seconds * perSecond; begun += 1) {
      work().catch(() => (failed += 1));
    }
    await sleep(TICK_MILLISECONDS);
  }
  return failed;
}
