import type {METRICS_TABLE} from './metrics_table.js';

/** Name of a metric in the table. */
export type MetricName = keyof typeof METRICS_TABLE;
