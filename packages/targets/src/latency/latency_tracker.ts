/** Time in which the weight of a sample falls to a half. */
const HALF_LIFE_MILLISECONDS = 500;
/** Time without an answer after which the latency is not known any more. */
const MAX_AGE_MILLISECONDS = 2_000;

/**
 * Recent latency of one target: a mean whose samples lose weight with time.
 *
 * Without a clock of its own, so that a manual clock or a bench drives it.
 */
export class LatencyTracker {
  private weightedSum = 0;
  private weight = 0;
  private updatedAt = 0;

  /** Takes in the latency of an answer that came at the given instant. */
  record(milliseconds: number, now: number): void {
    const elapsed = Math.max(0, now - this.updatedAt);
    const factor = 0.5 ** (elapsed / HALF_LIFE_MILLISECONDS);
    this.weightedSum = this.weightedSum * factor + milliseconds;
    this.weight = this.weight * factor + 1;
    this.updatedAt = now;
  }

  /** The recent mean, or undefined when there was no answer lately. */
  latencyAt(now: number): number | undefined {
    const hasSamples = this.weight > 0;
    const expiresAt = this.updatedAt + MAX_AGE_MILLISECONDS;
    if (!hasSamples || now >= expiresAt) return undefined;
    return this.weightedSum / this.weight;
  }
}
