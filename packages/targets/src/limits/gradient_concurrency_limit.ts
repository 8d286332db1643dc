import type {ConcurrencyLimit} from './concurrency_limit_types.js';

/** Most requests in flight of one entry for each slot of the target. */
const MAX_PER_SLOT = 2;
/** Weight of one answer in the recent and in the usual latency. */
const SHORT_TERM_WEIGHT = 0.1;
const LONG_TERM_WEIGHT = 0.002;
/** Recent latency over the usual one that is tolerated. */
const TOLERANCE = 1.5;
const MIN_GRADIENT = 0.5;
/** Share of the way to the new limit that one answer moves it. */
const SMOOTHING = 0.05;
const DROP_FACTOR = 0.9;

/**
 * Follows the ratio of the usual latency to the recent one.
 *
 * The limit falls while answers become slower and grows by its square root
 * while they don't, as long as it is used.
 */
export class GradientConcurrencyLimit implements ConcurrencyLimit {
  private current: number;
  private shortTermLatency = 0;
  private longTermLatency = 0;

  constructor(private readonly slots: number) {
    this.current = slots;
  }

  get limit(): number {
    return Math.max(1, Math.floor(this.current));
  }

  recordAnswer(latencyMilliseconds: number, requestsInFlight: number): void {
    this.recordLatency(latencyMilliseconds);
    const ratio = (this.longTermLatency * TOLERANCE) / this.shortTermLatency;
    const gradient = Math.min(1, Math.max(MIN_GRADIENT, ratio));
    const isUsed = requestsInFlight * 2 >= this.current;
    if (gradient >= 1 && !isUsed) return;
    const desired = this.current * gradient + Math.sqrt(this.current);
    this.setLimit(this.current + (desired - this.current) * SMOOTHING);
  }

  recordDrop(): void {
    this.setLimit(this.current * DROP_FACTOR);
  }

  private recordLatency(latency: number): void {
    if (this.longTermLatency === 0) {
      this.shortTermLatency = latency;
      this.longTermLatency = latency;
    }
    this.shortTermLatency +=
      (latency - this.shortTermLatency) * SHORT_TERM_WEIGHT;
    this.longTermLatency += (latency - this.longTermLatency) * LONG_TERM_WEIGHT;
    this.longTermLatency = Math.min(
      this.longTermLatency,
      this.shortTermLatency * 2,
    );
  }

  private setLimit(limit: number): void {
    const max = this.slots * MAX_PER_SLOT;
    this.current = Math.min(max, Math.max(1, limit));
  }
}
