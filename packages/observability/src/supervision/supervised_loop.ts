import {toChicoryspringError, type Clock} from '@chicoryspring/contracts';
import type {StateLog} from '../state_log/state_log_types.js';

/** Time after which a loop that has failed starts again. */
const RESTART_MILLISECONDS = 200;

interface Supervision {
  readonly clock: Clock;
  readonly log: StateLog;
  /** Ends the supervision; without one it ends with the loop. */
  readonly signal?: AbortSignal;
}

/**
 * Runs a background loop, and starts it again after an unexpected error, which
 * must not end the process and with it what else it serves.
 */
export async function superviseLoop(
  name: string,
  loop: () => Promise<void>,
  {clock, log, signal}: Supervision,
): Promise<void> {
  while (!signal?.aborted) {
    try {
      return await loop();
    } catch (thrown) {
      const {kind, message} = toChicoryspringError(thrown);
      const {stack} = thrown instanceof Error ? thrown : new Error(message);
      log.change('background loop failed', {loop: name, kind, message, stack});
    }
    await clock.sleepUntil(clock.now() + RESTART_MILLISECONDS, signal);
  }
}
