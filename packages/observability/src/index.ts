/**
 * Metrics and state log of a process. Frequent events are counted; only changes
 * of state are logged.
 */
export {type Metric} from './metrics/metric_types.js';
export {type MetricName} from './metrics/metric_name_types.js';
export {METRICS_TABLE} from './metrics/metrics_table.js';
export {type Metrics} from './metrics/metrics_types.js';
export {NoOpMetrics} from './metrics/no_op_metrics.js';
export {TextMetrics} from './metrics/text_metrics.js';
export {StatsMetrics} from './metrics/stats_metrics.js';
export {type StateChange} from './state_log/state_change_types.js';
export {type StateLog} from './state_log/state_log_types.js';
export {UnreadableValueLog} from './state_log/unreadable_value_log.js';
export {NoOpStateLog} from './state_log/no_op_state_log.js';
export {superviseLoop} from './supervision/supervised_loop.js';
export {EventLoopMonitor} from './event_loop/event_loop_monitor.js';
export {StopLog} from './stop/stop_log.js';
export {LineStateLog} from './state_log/line_state_log.js';
export {BoundedLineOutput} from './line_output/bounded_line_output.js';
export {WinstonStateLog} from './state_log/winston_state_log.js';
