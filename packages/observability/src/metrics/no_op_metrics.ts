import type {Metrics} from './metrics_types.js';

/** Discards all metrics; used when no collector is configured. */
export class NoOpMetrics implements Metrics {
  increment(): void {}

  gauge(): void {}

  timing(): void {}
}
