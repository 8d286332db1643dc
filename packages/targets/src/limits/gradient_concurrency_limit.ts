import type {ConcurrencyLimit} from './concurrency_limit_types.js';

/** Maximum requests in flight of one entry per slot of the target. */
const MAX_PER_SLOT = 2;
/** Weight of one answer in the short-term and the long-term mean latency. */
const SHORT_TERM_WEIGHT = 0.1;
const LONG_TERM_WEIGHT = 0.002;
/** Ratio of short-term to long-term latency up to which the limit may grow. */
const TOLERANCE = 1.5;
const MIN_GRADIENT = 0.5;
/** Share of the difference to the desired limit that one answer applies. */
const SMOOTHING = 0.05;
/** Factor on the limit for each dropped request. */
const DROP_FACTOR = 0.9;

/**
 * Adapts the limit by the gradient: the ratio of the long-term latency to the
 * short-term one.
 *
 * The limit decreases while answers become slower. While they don't, it grows
 * towards itself plus its square root, if at least half of it is in use.
 */
export class GradientConcurrencyLimit implements ConcurrencyLimit {
  private unroundedLimit: number;
  private shortTermLatency = 0;
  private longTermLatency = 0;

  constructor(private readonly slots: number) {
    this.unroundedLimit = slots;
  }

  get limit(): number {
    return Math.max(1, Math.floor(this.unroundedLimit));
  }

  recordAnswer(latencyMilliseconds: number, requestsInFlight: number): void {
    this.recordLatency(latencyMilliseconds);
    const ratio = (this.longTermLatency * TOLERANCE) / this.shortTermLatency;
    const gradient = Math.min(1, Math.max(MIN_GRADIENT, ratio));
    const isUsed = requestsInFlight * 2 >= this.unroundedLimit;
    if (gradient >= 1 && !isUsed) return;
    const desired =
      this.unroundedLimit * gradient + Math.sqrt(this.unroundedLimit);
    this.setLimit(
      this.unroundedLimit + (desired - this.unroundedLimit) * SMOOTHING,
    );
  }

  recordDrop(): void {
    this.setLimit(this.unroundedLimit * DROP_FACTOR);
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
    this.unroundedLimit = Math.min(max, Math.max(1, limit));
  }
}
