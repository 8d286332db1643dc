import type {Estimate} from './estimate_types.js';
import type {BestEffortRun} from './best_effort_run_types.js';
import type {InterferenceRow} from './interference_row_types.js';
import {BaselineHeadroomTable} from './baseline_headroom_table.js';
import type {LatencyCriticalRun} from './latency_critical_run_types.js';

/** Belief of a pair of images that was never measured together. */
const INITIAL_ESTIMATE: Estimate = {value: 0, variance: 9};
/** Variance of what an earlier owner has learned. */
const SEED_VARIANCE = 1;
/** Variance that a pair gains with each measurement: harms change. */
const PAIR_VARIANCE_DRIFT = 0.01;
/** Variance of a measured headroom, and its growth with the headroom. */
const MEASUREMENT_VARIANCE = 0.08;
const MEASUREMENT_GROWTH = 0.5;
/** Headroom below which a measurement no longer tells how far it is over. */
const SATURATED_HEADROOM = 0.12;
/** Squared surprise, in variances, beyond which the worker itself is slow. */
const SLOW_WORKER_THRESHOLD = 16;
/** Headroom at the peak of a run's own load. */
const PEAK_HEADROOM = 1.6;
/** Headroom below which a run's own load does not bring it. */
const MIN_BASELINE_HEADROOM = 1.1;
/** Change of a harm that is worth telling. */
const PUBLISH_THRESHOLD = 0.3;

interface Contribution {
  readonly bestEffortImage: string;
  readonly share: number;
  readonly estimate: Estimate;
}

/**
 * Learns how filling runs disturb runs that serve, by their images.
 *
 * The headroom of a serving run falls by the processors that filling runs
 * beside it use, each pair of images at a rate of its own. A surprise is split
 * between the run's own load and the pairs by their uncertainty (a Kalman
 * filter with a diagonal covariance).
 */
export class InterferenceModel {
  private readonly pairs = new Map<string, InterferenceRow & Estimate>();
  private readonly baselines = new BaselineHeadroomTable();
  private published = new Map<string, number>();

  /** Takes in what was measured on one worker. */
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

  /** Takes over what an earlier owner has learned. */
  seed(rows: readonly InterferenceRow[]): void {
    for (const {serving, filling, harm} of rows) {
      if (this.pairs.has(keyOf(serving, filling))) continue;
      const estimate = {value: harm, variance: SEED_VARIANCE};
      this.setEstimate(serving, filling, estimate);
    }
  }

  /** Headroom lost to filling runs that use all processors of a worker. */
  interferenceOf(
    latencyCriticalImage: string,
    bestEffortImage: string,
  ): number {
    return this.estimateOf(latencyCriticalImage, bestEffortImage).value;
  }

  /** Headroom that a serving run keeps beside filling runs at full pace. */
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

  /** Every pair that was seen, if one has changed since it was last told. */
  rowsToPublish(): readonly InterferenceRow[] {
    const rows = [...this.pairs].map(([key, one]) => ({
      key,
      row: {serving: one.serving, filling: one.filling, harm: one.value},
    }));
    const hasChanged = rows.some(({key, row}) => {
      const lastPublished = this.published.get(key) ?? Infinity;
      return Math.abs(lastPublished - row.harm) > PUBLISH_THRESHOLD;
    });
    if (!hasChanged) return [];
    this.published = new Map(rows.map(({key, row}) => [key, row.harm]));
    return rows.map(({row}) => row);
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
    // A long tail that nothing filling explains is the worker's own.
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

function interferenceFrom(contributions: readonly Contribution[]): number {
  return contributions.reduce(
    (sum, {share, estimate}) => sum + share * estimate.value,
    0,
  );
}

/** Variance of a measurement that the uncertainty of the pairs explains. */
function varianceOf(contributions: readonly Contribution[]): number {
  return contributions.reduce(
    (sum, {share, estimate}) => sum + share ** 2 * estimate.variance,
    0,
  );
}

/** An estimate after a surprise, in which it counts with a weight. */
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
