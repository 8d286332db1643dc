import type {StateLog} from './state_log_types.js';

/** Writes no lines. */
export class SilentStateLog implements StateLog {
  change(): void {}
}
