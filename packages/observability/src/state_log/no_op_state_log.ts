import type {StateLog} from './state_log_types.js';

/** Discards all state changes. */
export class NoOpStateLog implements StateLog {
  change(): void {}
}
