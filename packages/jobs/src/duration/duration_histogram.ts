import {build, type Histogram} from 'hdr-histogram-js';

/**
 * Observations after which a new window begins. It fits the counters, which
 * have 8 bits.
 */
const WINDOW_OBSERVATIONS = 128;
const COUNTER_BITS = 8;
const SIGNIFICANT_DIGITS = 2;

/** Histogram of the last 128 to 256 run times, in milliseconds. */
export class DurationHistogram {
  private previous: Histogram | undefined;
  private current = createHistogram();

  get count(): number {
    return this.current.totalCount + (this.previous?.totalCount ?? 0);
  }

  record(milliseconds: number): void {
    if (this.current.totalCount === WINDOW_OBSERVATIONS) {
      this.previous = this.current;
      this.current = createHistogram();
    }
    this.current.recordValue(Math.max(1, Math.round(milliseconds)));
  }

  /** Run time that the given percentage of runs does not exceed. */
  percentile(percentage: number): number {
    const {previous, current} = this;
    const recent = current.getValueAtPercentile(percentage);
    if (!previous) return recent;
    // Weighted by age: the newer window counts more the fuller it is.
    const share = current.totalCount / WINDOW_OBSERVATIONS;
    const earlier = previous.getValueAtPercentile(percentage);
    return share * recent + (1 - share) * earlier;
  }
}

function createHistogram(): Histogram {
  return build({
    bitBucketSize: COUNTER_BITS,
    autoResize: true,
    lowestDiscernibleValue: 1,
    highestTrackableValue: 2,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    useWebAssembly: false,
  });
}
