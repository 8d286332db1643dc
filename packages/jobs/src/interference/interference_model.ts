import type {Estimate} from './estimate_types.js';
import type {BestEffortRun} from './best_effort_run_types.js';
import type {InterferenceRow} from './interference_row_types.js';
import {BaselineHeadroomTable} from './baseline_headroom_table.js';
import type {LatencyCriticalRun} from './latency_critical_run_types.js';

/** Belief of a pair of images that was never measured together. */
const UNKNOWN: Estimate = {value: 0, variance: 9};
/** Variance of what an earlier owner has learned. */
const SEED_VARIANCE = 1;
/** Variance that a pair gains with each measurement: harms change. */
const PAIR_DRIFT = 0.01;
/** Variance of a measured headroom, and its growth with the headroom. */
const MEASUREMENT_VARIANCE = 0.08;
const MEASUREMENT_GROWTH = 0.5;
/** Headroom below which a measurement no longer tells how far it is over. */
const SATURATED_HEADROOM = 0.12;
/** Squared surprise, in variances, beyond which the worker itself is slow. */
const SLOW_WORKER_SURPRISE = 16;
/** Headroom at the peak of a run's own load. */
const PEAK_HEADROOM = 1.6;
/** Headroom below which a run's own load does not bring it. */
const LEAST_OWN_HEADROOM = 1.1;
/** Change of a harm that is worth telling. */
const TOLD_DIFFERENCE = 0.3;

interface Part {
  readonly filling: string;
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
  private readonly headrooms = new BaselineHeadroomTable();
  private told = new Map<string, number>();

  /** Takes in what was measured on one worker. */
  observe(
    servings: readonly LatencyCriticalRun[],
    fillings: readonly BestEffortRun[],
    now: number,
  ): void {
    const shares = new Map<string, number>();
    for (const {image, share} of fillings) {
      if (share === 0) continue;
      shares.set(image, (shares.get(image) ?? 0) + share);
    }
    for (const serving of servings) this.observeOne(serving, shares, now);
  }

  /** Takes over what an earlier owner has learned. */
  seed(rows: readonly InterferenceRow[]): void {
    for (const {serving, filling, harm} of rows) {
      if (this.pairs.has(keyOf(serving, filling))) continue;
      const estimate = {value: harm, variance: SEED_VARIANCE};
      this.learn(serving, filling, estimate);
    }
  }

  /** Headroom lost to filling runs that use all processors of a worker. */
  harm(serving: string, filling: string): number {
    return this.estimateOf(serving, filling).value;
  }

  /** Headroom that a serving run keeps beside filling runs at full pace. */
  expectedHeadroom(
    serving: LatencyCriticalRun,
    fillings: readonly BestEffortRun[],
    now: number,
  ): number {
    const own = this.headrooms.at(serving.job, now).value;
    const lost = fillings.reduce(
      (sum, {image, fullShare}) =>
        sum + fullShare * this.harm(serving.image, image),
      0,
    );
    return (own + PEAK_HEADROOM) / 2 - lost;
  }

  /** Every pair that was seen, if one has changed since it was last told. */
  rowsToPublish(): readonly InterferenceRow[] {
    const rows = [...this.pairs].map(([key, one]) => ({
      key,
      row: {serving: one.serving, filling: one.filling, harm: one.value},
    }));
    const isNews = rows.some(({key, row}) => {
      const told = this.told.get(key) ?? Infinity;
      return Math.abs(told - row.harm) > TOLD_DIFFERENCE;
    });
    if (!isNews) return [];
    this.told = new Map(rows.map(({key, row}) => [key, row.harm]));
    return rows.map(({row}) => row);
  }

  private observeOne(
    serving: LatencyCriticalRun,
    shares: ReadonlyMap<string, number>,
    now: number,
  ): void {
    const {job, image, goalMilliseconds, tailMilliseconds} = serving;
    if (tailMilliseconds <= 0) return;
    const headroom = goalMilliseconds / tailMilliseconds;
    const isSlow = shares.size === 0 && headroom < LEAST_OWN_HEADROOM;
    // A long tail that nothing filling explains is the worker's own.
    if (isSlow) return;
    const measured = Math.max(SATURATED_HEADROOM, headroom);
    const own = this.headrooms.at(job, now);
    const parts = this.partsOf(image, shares);
    const expected = Math.max(0, own.value - lostTo(parts));
    if (Math.max(headroom, expected) <= SATURATED_HEADROOM) return;
    const surprise = measured - expected;
    const noise = MEASUREMENT_VARIANCE * (1 + MEASUREMENT_GROWTH * measured);
    const total = own.variance + explainedBy(parts) + noise;
    if (surprise ** 2 > SLOW_WORKER_SURPRISE * total) return;
    const ownNext = corrected(own, 1, surprise, total);
    const value = Math.max(LEAST_OWN_HEADROOM, ownNext.value);
    this.headrooms.set(job, {...ownNext, value}, now);
    for (const {filling, share, estimate} of parts) {
      const next = corrected(estimate, -share, surprise, total);
      this.learn(image, filling, {
        value: Math.max(0, next.value),
        variance: next.variance + PAIR_DRIFT,
      });
    }
  }

  private partsOf(
    serving: string,
    shares: ReadonlyMap<string, number>,
  ): readonly Part[] {
    return [...shares].map(([filling, share]) => ({
      filling,
      share,
      estimate: this.estimateOf(serving, filling),
    }));
  }

  private estimateOf(serving: string, filling: string): Estimate {
    return this.pairs.get(keyOf(serving, filling)) ?? UNKNOWN;
  }

  private learn(serving: string, filling: string, estimate: Estimate): void {
    const row = {serving, filling, harm: estimate.value, ...estimate};
    this.pairs.set(keyOf(serving, filling), row);
  }
}

function keyOf(serving: string, filling: string): string {
  return `${serving}/${filling}`;
}

function lostTo(parts: readonly Part[]): number {
  return parts.reduce(
    (sum, {share, estimate}) => sum + share * estimate.value,
    0,
  );
}

/** Variance of a measurement that the uncertainty of the pairs explains. */
function explainedBy(parts: readonly Part[]): number {
  return parts.reduce(
    (sum, {share, estimate}) => sum + share ** 2 * estimate.variance,
    0,
  );
}

/** An estimate after a surprise, in which it counts with a weight. */
function corrected(
  {value, variance}: Estimate,
  weight: number,
  surprise: number,
  total: number,
): Estimate {
  const gain = (variance * weight) / total;
  return {
    value: value + gain * surprise,
    variance: variance * (1 - gain * weight),
  };
}
