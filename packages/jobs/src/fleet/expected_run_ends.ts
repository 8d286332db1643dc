import {ResourcesArithmetic, type Resources} from '@chicoryspring/contracts';
import type {DurationModel} from '../duration/duration_model.js';
import type {WorkRateTable} from '../duration/work_rate_table.js';
import type {ExpectedEnd} from './expected_end_types.js';
import type {RunInProgress} from './run_in_progress_types.js';
import type {RunsInProgress} from './runs_in_progress_types.js';
import type {WorkerEnds} from './worker_ends_types.js';
import type {WorkerView} from './worker_view_types.js';

/** Progress in percent from which a run's own rate predicts its end. */
const MIN_PROGRESS = 5;
const FULL_PERCENT = 100;
/** Pace in percent that is assumed of a run that is slowed further. */
const MIN_PACE = 10;
/** Part of its time so far that a run past its tail is expected to take yet. */
const OVERDUE_SHARE = 0.5;
/** Assumed remaining time of other owners' runs, of which little is known. */
const FOREIGN_MILLISECONDS = 30_000;

/** Estimates when the runs on a worker end. */
export class ExpectedRunEnds implements WorkerEnds {
  constructor(
    private readonly runs: RunsInProgress,
    private readonly model: DurationModel,
    private readonly rates: WorkRateTable,
  ) {}

  endsOn(view: WorkerView, now: number): readonly ExpectedEnd[] {
    const {agent} = view;
    const rate = this.rates.rateOf(agent);
    const ends: ExpectedEnd[] = [];
    let foreign = ResourcesArithmetic.subtract(view.worker.capacity, view.free);
    for (const run of this.runs.runsOn(agent, now)) {
      const instant = now + this.remainingMilliseconds(run, rate);
      const {commitment: resources} = run;
      ends.push({instant, resources, isKnown: true});
      foreign = ResourcesArithmetic.subtract(foreign, resources);
    }
    if (isPositive(foreign)) {
      const instant = this.runs.hasForeignLastingRun(agent)
        ? Infinity
        : now + FOREIGN_MILLISECONDS;
      ends.push({instant, resources: withoutNegative(foreign), isKnown: false});
    }
    return ends.sort((left, right) => left.instant - right.instant);
  }

  private remainingMilliseconds(run: RunInProgress, rate: number): number {
    if (run.isLasting) return Infinity;
    const pace = Math.max(MIN_PACE, run.pace) / FULL_PERCENT;
    const {activeMilliseconds: active, firstPercent, percent} = run;
    const progress = percent - firstPercent;
    if (progress >= MIN_PROGRESS)
      return (active * (FULL_PERCENT - percent)) / progress / pace;
    const estimate = this.model.estimate(run.stepClass);
    const share = 1 - firstPercent / FULL_PERCENT;
    const expected = (estimate.expectedMilliseconds * share) / rate;
    if (active < expected) return (expected - active) / pace;
    const tail = estimate.isLearned ? estimate.tailMilliseconds / rate : 0;
    const overdue = Math.max(tail - active, active * OVERDUE_SHARE);
    return overdue / pace;
  }
}

function isPositive(resources: Resources): boolean {
  const {processors, memoryMebibytes, accelerators} = resources;
  return processors > 0 || memoryMebibytes > 0 || accelerators > 0;
}

function withoutNegative(resources: Resources): Resources {
  return {
    processors: Math.max(0, resources.processors),
    memoryMebibytes: Math.max(0, resources.memoryMebibytes),
    accelerators: Math.max(0, resources.accelerators),
  };
}
