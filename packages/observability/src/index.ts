/** Counters first, and log lines for changes of state. */
export type {Metrics} from './metrics/metrics_types.js';
export {SilentMetrics} from './metrics/silent_metrics_behaviour.js';
export type {StateLog} from './state_log/state_log_types.js';
export {SilentStateLog} from './state_log/silent_state_log_behaviour.js';
