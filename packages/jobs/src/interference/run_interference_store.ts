import {DecayingInterferenceLearner} from '@chicoryspring/workers';
import type {FillingRun} from './filling_run_types.js';
import type {HarmRow} from './harm_row_types.js';
import type {ServingRun} from './serving_run_types.js';

/** Share of its goal at which an undisturbed run is expected at first. */
const FIRST_BASE_SHARE = 0.45;
/** Share of its goal above which a run counts as disturbed otherwise. */
const MOST_BASE_SHARE = 0.8;
/** Weight of a new measurement of an undisturbed run. */
const BASE_WEIGHT = 0.05;
/** Relative deviation of one measurement, with the run's own load swings. */
const MEASUREMENT_NOISE = 0.3;
/** Measurements that what an earlier owner has learned counts for. */
const SEED_SAMPLES = 8;
/** What the learner assumes of a pair that it has not seen. */
const UNKNOWN_HARM = 0.1;
/** Share of a falling harm that one measurement may take away. */
const RELIEF_SHARE = 0.05;
/** Logarithm by which its own load raises the tail above the usual one. */
const LOAD_SWING = 0.35;
/** Change of a harm that is worth telling. */
const TOLD_DIFFERENCE = 0.05;

/**
 * Learns how filling runs disturb runs that serve, by their images.
 *
 * The tail of a serving run grows about exponentially with the processors that
 * filling runs beside it use; each pair of images has a rate of its own.
 */
export class RunInterferenceStore {
  private readonly learner = new DecayingInterferenceLearner(
    MEASUREMENT_NOISE,
    RELIEF_SHARE,
  );
  /** Logarithm of the undisturbed share of the goal, by serving image. */
  private readonly bases = new Map<string, number>();
  private readonly seen = new Map<string, HarmRow>();
  private told = new Map<string, number>();

  /** Takes in what was measured on one worker. */
  observe(
    servings: readonly ServingRun[],
    fillings: readonly FillingRun[],
    now: number,
  ): void {
    const byImage = new Map<string, number>();
    for (const {image, processors} of fillings) {
      byImage.set(image, (byImage.get(image) ?? 0) + processors);
    }
    for (const serving of servings) this.observeOne(serving, byImage, now);
  }

  /** Takes over what an earlier owner has learned. */
  seed(rows: readonly HarmRow[], now: number): void {
    for (const row of rows) {
      const key = keyOf(row);
      if (this.seen.has(key)) continue;
      this.seen.set(key, row);
      const observation = {
        affected: row.serving,
        others: [{taskClass: row.filling, tasks: 1}],
        slowdown: 1 + row.harm,
        measuredAt: now,
      };
      for (let sample = 0; sample < SEED_SAMPLES; sample += 1) {
        this.learner.observe(observation);
      }
    }
  }

  /**
   * Growth of the logarithm of the tail for each processor; none while no more
   * is known than of any pair.
   */
  harm(serving: string, filling: string, now: number): number {
    const {harm} = this.learner.estimate(serving, filling, now);
    return harm > UNKNOWN_HARM ? harm : 0;
  }

  /** Expected tail as a share of the goal, at the peak of its own load. */
  expectedShare(
    serving: ServingRun,
    fillings: readonly FillingRun[],
    now: number,
  ): number {
    const added = fillings.reduce(
      (sum, one) =>
        sum + one.processors * this.harm(serving.image, one.image, now),
      0,
    );
    return Math.exp(this.baseOf(serving.image) + LOAD_SWING + added);
  }

  /** Every pair that was seen, if one has changed since it was last told. */
  newsRows(now: number): readonly HarmRow[] {
    const rows = [...this.seen.values()].map(row => ({
      ...row,
      harm: this.harm(row.serving, row.filling, now),
    }));
    const isNews = rows.some(row => {
      const told = this.told.get(keyOf(row)) ?? Infinity;
      return Math.abs(told - row.harm) > TOLD_DIFFERENCE;
    });
    if (!isNews) return [];
    this.told = new Map(rows.map(row => [keyOf(row), row.harm]));
    return rows;
  }

  private observeOne(
    serving: ServingRun,
    processors: ReadonlyMap<string, number>,
    now: number,
  ): void {
    const {image, goalMilliseconds, tailMilliseconds} = serving;
    if (tailMilliseconds <= 0) return;
    const share = Math.log(tailMilliseconds / goalMilliseconds);
    if (processors.size === 0) {
      // A long tail that nothing filling explains is the worker's own.
      if (share > Math.log(MOST_BASE_SHARE)) return;
      const base = this.baseOf(image);
      this.bases.set(image, base + (share - base) * BASE_WEIGHT);
      return;
    }
    const others = [...processors].map(([filling, tasks]) => {
      const row = {serving: image, filling, harm: 0};
      this.seen.set(keyOf(row), row);
      return {taskClass: filling, tasks};
    });
    this.learner.observe({
      affected: image,
      others,
      slowdown: 1 + Math.max(0, share - this.baseOf(image)),
      measuredAt: now,
    });
  }

  private baseOf(image: string): number {
    return this.bases.get(image) ?? Math.log(FIRST_BASE_SHARE);
  }
}

function keyOf({serving, filling}: HarmRow): string {
  return `${serving}/${filling}`;
}
