import type {MetricName} from './metric_name_types.js';

type Tags = Readonly<Record<string, string>>;

/** Records counters, gauges and timings; cheap enough for every request. */
export interface Metrics {
  /** Adds an amount to a counter. The default is 1. */
  increment(name: MetricName, tags?: Tags, amount?: number): void;
  gauge(name: MetricName, value: number, tags?: Tags): void;
  /** Records a duration in milliseconds. */
  timing(name: MetricName, milliseconds: number, tags?: Tags): void;
}
