import type {MetricName} from './metric_name_types.js';

type Tags = Readonly<Record<string, string>>;

/** Counters and measurements; cheap enough to take on every request. */
export interface Metrics {
  /** Adds to a counter; 1 when no amount is given. */
  increment(name: MetricName, tags?: Tags, amount?: number): void;
  gauge(name: MetricName, value: number, tags?: Tags): void;
  /** A time in milliseconds. */
  timing(name: MetricName, milliseconds: number, tags?: Tags): void;
}
