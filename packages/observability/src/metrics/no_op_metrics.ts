import type {Metrics} from './metrics_types.js';

/** Keeps no metrics; stands where no collector is set. */
export class NoOpMetrics implements Metrics {
  increment(): void {}

  gauge(): void {}

  timing(): void {}
}
