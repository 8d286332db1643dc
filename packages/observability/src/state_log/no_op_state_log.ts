import type {StateLog} from './state_log_types.js';

/** Writes no lines. */
export class NoOpStateLog implements StateLog {
  change(): void {}
}
