import type {Estimate} from './estimate_types.js';
import type {BestEffortRun} from './best_effort_run_types.js';
import type {InterferenceRow} from './interference_row_types.js';
import {BaselineHeadroomTable} from './baseline_headroom_table.js';
import type {LatencyCriticalRun} from './latency_critical_run_types.js';

/** Estimate for a pair of images that was never measured together. */
const INITIAL_ESTIMATE: Estimate = {value: 0, variance: 9};
/** Variance of an estimate that the previous owner has learned. */
const SEED_VARIANCE = 1;
/** Variance that a pair gains at each measurement: interference changes. */
const PAIR_VARIANCE_DRIFT = 0.01;
/** Variance of a measured headroom, and its growth per unit of headroom. */
const MEASUREMENT_VARIANCE = 0.08;
const MEASUREMENT_GROWTH = 0.5;
/** Headroom below which a measurement doesn't show the extent of the miss. */
const SATURATED_HEADROOM = 0.12;
/** Squared innovation, in variances, above which the worker itself is slow. */
const SLOW_WORKER_THRESHOLD = 16;
/** Headroom of a run at its peak load, without interference. */
const PEAK_HEADROOM = 1.6;
/** Lowest headroom that the load of a run itself accounts for. */
const MIN_BASELINE_HEADROOM = 1.1;
/** Change of a pair's interference above which the rows are published. */
const PUBLISH_THRESHOLD = 0.3;

interface Contribution {
  readonly bestEffortImage: string;
  readonly share: number;
  readonly estimate: Estimate;
}

/**
 * Learns the interference of best-effort runs with latency-critical runs for
 * each pair of images.
 *
 * The headroom of a latency-critical run falls with the share of the worker's
 * processors that best-effort runs beside it use, at a rate of its own for each
 * pair of images. A Kalman filter with a diagonal covariance divides the
 * innovation of a measurement between the job's baseline headroom and the pairs
 * in proportion to their variances.
 */
export class InterferenceModel {
  private readonly pairs = new Map<string, InterferenceRow & Estimate>();
  private readonly baselines = new BaselineHeadroomTable();
  private readonly published = new Map<string, number>();

  /** Applies what was measured on one worker. */
  observe(
    latencyCriticalRuns: readonly LatencyCriticalRun[],
    bestEffortRuns: readonly BestEffortRun[],
    now: number,
  ): void {
    const shares = new Map<string, number>();
    for (const {image, share} of bestEffortRuns) {
      if (share === 0) continue;
      shares.set(image, (shares.get(image) ?? 0) + share);
    }
    for (const run of latencyCriticalRuns) this.observeRun(run, shares, now);
  }

  /**
   * Merges what the previous owner has learned and published; known pairs stay.
   * Returns the rows of the others.
   */
  seed(rows: readonly InterferenceRow[]): readonly InterferenceRow[] {
    const newRows = rows.filter(
      ({serving, filling}) => !this.pairs.has(keyOf(serving, filling)),
    );
    for (const {serving, filling, harm} of newRows) {
      const key = keyOf(serving, filling);
      const estimate = {value: harm, variance: SEED_VARIANCE};
      this.setEstimate(serving, filling, estimate);
      this.published.set(key, harm);
    }
    return newRows;
  }

  /** What is known, but for the pairs of the given rows. */
  rowsBeside(told: readonly InterferenceRow[]): readonly InterferenceRow[] {
    const keys = new Set(
      told.map(({serving, filling}) => keyOf(serving, filling)),
    );
    return [...this.pairs].flatMap(([key, pair]) =>
      keys.has(key) ? [] : [rowOf(pair)],
    );
  }

  /**
   * Headroom that a latency-critical run loses to best-effort runs that use all
   * processors of a worker.
   */
  interferenceOf(
    latencyCriticalImage: string,
    bestEffortImage: string,
  ): number {
    return this.estimateOf(latencyCriticalImage, bestEffortImage).value;
  }

  /**
   * Headroom that a run is expected to keep beside best-effort runs at full
   * pace, with its baseline halfway between the estimate and the peak load.
   */
  expectedHeadroom(
    run: LatencyCriticalRun,
    bestEffortRuns: readonly BestEffortRun[],
    now: number,
  ): number {
    const baseline = this.baselines.estimateAt(run.job, now).value;
    const interference = bestEffortRuns.reduce(
      (sum, {image, fullShare}) =>
        sum + fullShare * this.interferenceOf(run.image, image),
      0,
    );
    return (baseline + PEAK_HEADROOM) / 2 - interference;
  }

  /**
   * Rows of the pairs that have changed since their last publication. The rows that
   * are returned count as published.
   */
  rowsToPublish(): readonly InterferenceRow[] {
    const changed = [...this.pairs].filter(([key, {value}]) => {
      const lastPublished = this.published.get(key) ?? Infinity;
      return Math.abs(lastPublished - value) > PUBLISH_THRESHOLD;
    });
    for (const [key, {value}] of changed) this.published.set(key, value);
    return changed.map(([, pair]) => rowOf(pair));
  }

  private observeRun(
    run: LatencyCriticalRun,
    shares: ReadonlyMap<string, number>,
    now: number,
  ): void {
    const {job, image, goalMilliseconds, tailMilliseconds} = run;
    if (tailMilliseconds <= 0) return;
    const headroom = goalMilliseconds / tailMilliseconds;
    const isWorkerSlow = shares.size === 0 && headroom < MIN_BASELINE_HEADROOM;
    // Without best-effort runs, the worker itself causes a long tail.
    if (isWorkerSlow) return;
    const measured = Math.max(SATURATED_HEADROOM, headroom);
    const baseline = this.baselines.estimateAt(job, now);
    const contributions = this.contributionsOf(image, shares);
    const expected = Math.max(
      0,
      baseline.value - interferenceFrom(contributions),
    );
    if (Math.max(headroom, expected) <= SATURATED_HEADROOM) return;
    const innovation = measured - expected;
    const measurementVariance =
      MEASUREMENT_VARIANCE * (1 + MEASUREMENT_GROWTH * measured);
    const innovationVariance =
      baseline.variance + varianceOf(contributions) + measurementVariance;
    if (innovation ** 2 > SLOW_WORKER_THRESHOLD * innovationVariance) return;
    const nextBaseline = kalmanUpdate(
      baseline,
      1,
      innovation,
      innovationVariance,
    );
    const value = Math.max(MIN_BASELINE_HEADROOM, nextBaseline.value);
    this.baselines.set(job, {...nextBaseline, value}, now);
    for (const {bestEffortImage, share, estimate} of contributions) {
      const next = kalmanUpdate(
        estimate,
        -share,
        innovation,
        innovationVariance,
      );
      this.setEstimate(image, bestEffortImage, {
        value: Math.max(0, next.value),
        variance: next.variance + PAIR_VARIANCE_DRIFT,
      });
    }
  }

  private contributionsOf(
    latencyCriticalImage: string,
    shares: ReadonlyMap<string, number>,
  ): readonly Contribution[] {
    return [...shares].map(([bestEffortImage, share]) => ({
      bestEffortImage,
      share,
      estimate: this.estimateOf(latencyCriticalImage, bestEffortImage),
    }));
  }

  private estimateOf(serving: string, filling: string): Estimate {
    return this.pairs.get(keyOf(serving, filling)) ?? INITIAL_ESTIMATE;
  }

  private setEstimate(
    serving: string,
    filling: string,
    estimate: Estimate,
  ): void {
    const row = {serving, filling, harm: estimate.value, ...estimate};
    this.pairs.set(keyOf(serving, filling), row);
  }
}

function keyOf(serving: string, filling: string): string {
  return `${serving}/${filling}`;
}

function rowOf({
  serving,
  filling,
  value,
}: InterferenceRow & Estimate): InterferenceRow {
  return {serving, filling, harm: value};
}

function interferenceFrom(contributions: readonly Contribution[]): number {
  return contributions.reduce(
    (sum, {share, estimate}) => sum + share * estimate.value,
    0,
  );
}

/** Variance of a measurement that comes from the estimates of the pairs. */
function varianceOf(contributions: readonly Contribution[]): number {
  return contributions.reduce(
    (sum, {share, estimate}) => sum + share ** 2 * estimate.variance,
    0,
  );
}

/** Updates an estimate that enters the measurement with the given weight. */
function kalmanUpdate(
  {value, variance}: Estimate,
  weight: number,
  innovation: number,
  innovationVariance: number,
): Estimate {
  const gain = (variance * weight) / innovationVariance;
  return {
    value: value + gain * innovation,
    variance: variance * (1 - gain * weight),
  };
}
