/** Time in which the weight of a sample halves. */
const HALF_LIFE_MILLISECONDS = 500;
/** Time without an answer after which the latency is unknown. */
const MAX_AGE_MILLISECONDS = 2_000;

/**
 * Recent latency of one target: a mean whose samples decay exponentially.
 *
 * Takes the time as a parameter, so that tests and benchmarks control it.
 */
export class LatencyTracker {
  private weightedSum = 0;
  private weight = 0;
  private updatedAt = 0;

  /** Records the latency of an answer received at the given instant. */
  record(milliseconds: number, now: number): void {
    const elapsed = Math.max(0, now - this.updatedAt);
    const factor = 0.5 ** (elapsed / HALF_LIFE_MILLISECONDS);
    this.weightedSum = this.weightedSum * factor + milliseconds;
    this.weight = this.weight * factor + 1;
    this.updatedAt = now;
  }

  /** The recent mean; undefined without a recent answer. */
  latencyAt(now: number): number | undefined {
    const hasSamples = this.weight > 0;
    const expiresAt = this.updatedAt + MAX_AGE_MILLISECONDS;
    if (!hasSamples || now >= expiresAt) return undefined;
    return this.weightedSum / this.weight;
  }
}
