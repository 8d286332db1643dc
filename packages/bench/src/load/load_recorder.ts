import {build} from 'hdr-histogram-js';
import type {LoadFigures} from './load_figures_types.js';

const MICROSECONDS_PER_MILLISECOND = 1_000;
const MILLISECONDS_PER_SECOND = 1_000;
const SIGNIFICANT_DIGITS = 3;

/** Collects the times of answers and turns them into figures. */
export class LoadRecorder {
  private readonly histogram = build({
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
  private answered = 0;
  private failures = 0;

  /** Counts one request; failed ones are counted, and not timed. */
  record(milliseconds: number, isAnswered: boolean): void {
    if (!isAnswered) {
      this.failures += 1;
      return;
    }
    this.answered += 1;
    const microseconds = milliseconds * MICROSECONDS_PER_MILLISECOND;
    this.histogram.recordValue(Math.max(1, Math.round(microseconds)));
  }

  /** The figures of a run that took the given time. */
  figures(elapsedMilliseconds: number): LoadFigures {
    const perMillisecond = this.answered / elapsedMilliseconds;
    return {
      requestsPerSecond: Math.round(perMillisecond * MILLISECONDS_PER_SECOND),
      p50Milliseconds: this.at(50),
      p99Milliseconds: this.at(99),
      p999Milliseconds: this.at(99.9),
      failures: this.failures,
    };
  }

  private at(percentile: number): number {
    const microseconds = this.histogram.getValueAtPercentile(percentile);
    return microseconds / MICROSECONDS_PER_MILLISECOND;
  }
}
