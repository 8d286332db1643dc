import type {StateChange} from './state_change_types.js';

/** Logs changes of state. Frequent events are counted in `Metrics` instead. */
export interface StateLog {
  change(event: string, change: StateChange): void;
}
