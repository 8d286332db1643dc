import type {ConcurrencyLimit} from './concurrency_limit_types.js';

/** Most requests in flight of one entry for each slot of the target. */
const MOST_PER_SLOT = 2;
/** Weight of one answer in the recent and in the usual latency. */
const RECENT_WEIGHT = 0.1;
const USUAL_WEIGHT = 0.002;
/** Recent latency over the usual one that is tolerated. */
const TOLERANCE = 1.5;
const LEAST_GRADIENT = 0.5;
/** Share of the way to the new limit that one answer moves it. */
const STEP = 0.05;
const DROP_FACTOR = 0.9;

/**
 * Follows the ratio of the usual latency to the recent one.
 *
 * The limit falls while answers become slower and grows by its square root
 * while they don't, as long as it is used.
 */
export class GradientConcurrencyLimit implements ConcurrencyLimit {
  private current: number;
  private recent = 0;
  private usual = 0;

  constructor(private readonly slots: number) {
    this.current = slots;
  }

  get limit(): number {
    return Math.max(1, Math.floor(this.current));
  }

  recordAnswer(latencyMilliseconds: number, requestsInFlight: number): void {
    this.learn(latencyMilliseconds);
    const ratio = (this.usual * TOLERANCE) / this.recent;
    const gradient = Math.min(1, Math.max(LEAST_GRADIENT, ratio));
    const isUsed = requestsInFlight * 2 >= this.current;
    if (gradient >= 1 && !isUsed) return;
    const aim = this.current * gradient + Math.sqrt(this.current);
    this.moveTo(this.current + (aim - this.current) * STEP);
  }

  recordDrop(): void {
    this.moveTo(this.current * DROP_FACTOR);
  }

  private learn(latency: number): void {
    if (this.usual === 0) {
      this.recent = latency;
      this.usual = latency;
    }
    this.recent += (latency - this.recent) * RECENT_WEIGHT;
    this.usual += (latency - this.usual) * USUAL_WEIGHT;
    this.usual = Math.min(this.usual, this.recent * 2);
  }

  private moveTo(limit: number): void {
    const most = this.slots * MOST_PER_SLOT;
    this.current = Math.min(most, Math.max(1, limit));
  }
}
