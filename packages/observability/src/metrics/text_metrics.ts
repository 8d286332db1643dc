import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import type {MetricName} from './metric_name_types.js';
import type {Metric} from './metric_types.js';
import type {Metrics} from './metrics_types.js';
import {METRICS_TABLE} from './metrics_table.js';

const NAME_PREFIX = 'chicoryspring_';
const BUCKET_UPPER_BOUNDS_MILLISECONDS = [
  5, 20, 50, 100, 250, 500, 1_000, 2_500, 5_000, 15_000, 60_000,
];

type Tags = Readonly<Record<string, string>>;

/** Keeps metrics in memory for a collector that scrapes them as text. */
export class TextMetrics implements Metrics {
  private readonly registry = new Registry();
  private readonly counters = new Map<MetricName, Counter>();
  private readonly gauges = new Map<MetricName, Gauge>();
  private readonly histograms = new Map<MetricName, Histogram>();

  constructor() {
    for (const name of Object.keys(METRICS_TABLE) as readonly MetricName[]) {
      this.register(name);
    }
  }

  increment(name: MetricName, tags: Tags = {}, amount = 1): void {
    this.counters.get(name)?.inc({...tags}, amount);
  }

  gauge(name: MetricName, value: number, tags: Tags = {}): void {
    this.gauges.get(name)?.set({...tags}, value);
  }

  timing(name: MetricName, milliseconds: number, tags: Tags = {}): void {
    this.histograms.get(name)?.observe({...tags}, milliseconds);
  }

  /** Renders every metric in the Prometheus text format. */
  async render(): Promise<string> {
    return await this.registry.metrics();
  }

  private register(key: MetricName): void {
    const {type, tags, meaning, unit}: Metric = METRICS_TABLE[key];
    const options = {
      name: NAME_PREFIX + key.replaceAll('.', '_'),
      help: `${meaning} (${unit})`,
      labelNames: [...tags],
      registers: [this.registry],
    };
    if (type === 'counter') this.counters.set(key, new Counter(options));
    if (type === 'gauge') this.gauges.set(key, new Gauge(options));
    if (type !== 'timing') return;
    const histogram = new Histogram({
      ...options,
      buckets: BUCKET_UPPER_BOUNDS_MILLISECONDS,
    });
    this.histograms.set(key, histogram);
  }
}
