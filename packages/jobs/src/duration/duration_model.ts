import type {DurationEstimate} from './duration_estimate_types.js';
import {DurationHistogram} from './duration_histogram.js';
import type {StepClass} from './step_class_types.js';

/** Observations below which the declared estimate is used. */
const MIN_OBSERVATIONS = 8;
/** Classes of step that are kept, the last observed ones. */
const MAX_CLASSES = 1_000;
/** Share of the run time by which a declared estimate may be off. */
const DECLARED_ERROR = 0.9;
/** Expected run time of a step that declares none. */
const UNDECLARED_MILLISECONDS = 10_000;
const MEDIAN = 50;
const TAIL = 95;

/** Learns the active run times of tasks from their runs that ended done. */
export class DurationModel {
  private readonly histograms = new Map<string, DurationHistogram>();
  /** Estimates since the last observation of their class. */
  private readonly learned = new Map<string, DurationEstimate>();

  /** Counts a run that ended done, with its active time at full pace. */
  record(step: StepClass, activeMilliseconds: number): void {
    const key = keyOf(step);
    const histogram = this.histograms.get(key) ?? new DurationHistogram();
    histogram.record(activeMilliseconds);
    this.histograms.delete(key);
    this.histograms.set(key, histogram);
    this.learned.delete(key);
    if (this.histograms.size <= MAX_CLASSES) return;
    const [oldest] = this.histograms.keys();
    this.histograms.delete(oldest!);
    this.learned.delete(oldest!);
  }

  /** The learned run time, or the declared one while too little is known. */
  estimate(step: StepClass): DurationEstimate {
    const key = keyOf(step);
    const known = this.learned.get(key);
    if (known) return known;
    const histogram = this.histograms.get(key);
    const observations = histogram?.count ?? 0;
    if (!histogram || observations < MIN_OBSERVATIONS)
      return declaredEstimate(step, observations);
    const estimate = {
      expectedMilliseconds: histogram.percentile(MEDIAN),
      tailMilliseconds: histogram.percentile(TAIL),
      observations,
      isLearned: true,
    };
    this.learned.set(key, estimate);
    return estimate;
  }
}

function declaredEstimate(
  {estimateMilliseconds}: StepClass,
  observations: number,
): DurationEstimate {
  const isDeclared = estimateMilliseconds > 0;
  return {
    expectedMilliseconds: isDeclared
      ? estimateMilliseconds
      : UNDECLARED_MILLISECONDS,
    tailMilliseconds: isDeclared
      ? estimateMilliseconds / (1 - DECLARED_ERROR)
      : Infinity,
    observations,
    isLearned: false,
  };
}

/** Estimates of a class are within a factor of two of each other. */
function keyOf({queue, stepNumber, estimateMilliseconds}: StepClass): string {
  const sizeClass = Math.floor(Math.log2(Math.max(1, estimateMilliseconds)));
  return `${queue}/${stepNumber}/${sizeClass}`;
}
