import type {StateChange} from './state_change_types.js';

/** Log lines for changes of state; everything frequent is a counter. */
export interface StateLog {
  change(event: string, change: StateChange): void;
}
