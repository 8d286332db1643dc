import type {OwnedTask} from '../job/owned_task.js';
import type {OwnedRun} from '../run/owned_run_types.js';
import {RepeatedWork} from './repeated_work.js';
import type {RoundObservation} from './round_observation_types.js';
import {RunCounts} from './run_counts.js';
import {StepTails} from './step_tails.js';
import type {TimeSpan} from './time_span_types.js';
import type {TimeTotals} from './time_totals_types.js';

const NOTHING_SPENT: TimeTotals = {
  room: 0,
  ordered: 0,
  repeat: 0,
  pace: 0,
  straggler: 0,
  work: 0,
};

/**
 * Account of the time of an owned job: at each instant one cause counts, the
 * first that applies.
 *
 * Changes of runs are counted as they come; what the time counts as is decided
 * anew after a placement round with a change. Until the first such round it
 * counts as `ordered`. The time between occurrences doesn't count.
 */
export class JobTimeAccount {
  private readonly runs = new RunCounts();
  private readonly repeatedWork = new RepeatedWork();
  private readonly tails: StepTails;
  /** Tasks whose run has ended since the last observation. */
  private readonly ended = new Set<OwnedTask>();
  /** What counted before the current span. */
  private spent = NOTHING_SPENT;
  private span: TimeSpan;
  private observedAt: number;
  private isChanged = true;
  private hadUnplacedTasks = false;

  constructor(
    /** Local instant from which on the time counts. */
    readonly accountedFrom: number,
    stepCount: number,
    tasksOfStep: (task: OwnedTask) => readonly OwnedTask[],
  ) {
    this.tails = new StepTails(stepCount, tasksOfStep);
    this.span = {begin: accountedFrom, cause: 'ordered', slowedShare: 0};
    this.observedAt = accountedFrom;
  }

  /** Whether the job has changed, so that the round has to be observed. */
  isOutdated(hasUnplacedTasks: boolean): boolean {
    return this.isChanged || hasUnplacedTasks !== this.hadUnplacedTasks;
  }

  /** Counts a change of the run of a task: set, updated or cleared. */
  runChanged(
    task: OwnedTask,
    before: OwnedRun | undefined,
    after: OwnedRun | undefined,
  ): void {
    const {runs, repeatedWork, tails} = this;
    this.isChanged = true;
    if (before) runs.remove(before, repeatedWork.isRepeating(task, before));
    if (before && before.run !== after?.run)
      repeatedWork.recordEnd(task, before);
    if (after) runs.add(after, repeatedWork.isRepeating(task, after));
    if (after && !before) tails.addRun(task);
    if (before && !after) {
      tails.removeRun(task);
      this.ended.add(task);
    }
  }

  /** Decides what the time counts as from now on. */
  observe(now: number, observation: RoundObservation): void {
    this.observedAt = Math.max(now, this.observedAt);
    this.isChanged = false;
    this.hadUnplacedTasks = observation.hasUnplacedTasks;
    this.recordDoneTasks();
    const next = this.nextSpan(observation);
    if (this.isContinued(next)) return;
    this.spent = this.totals(this.observedAt);
    this.span = next;
  }

  /** Milliseconds by cause until an instant not before the last observed. */
  totals(now: number): TimeTotals {
    const {spent} = this;
    const {begin, cause, slowedShare} = this.span;
    const elapsed = Math.max(0, now - begin);
    const slowed = elapsed * slowedShare;
    const totals = {...spent, pace: spent.pace + slowed};
    return {...totals, [cause]: totals[cause] + elapsed - slowed};
  }

  /** Whether the time goes on to count as it does now. */
  private isContinued({begin, cause, slowedShare}: TimeSpan): boolean {
    const {span, observedAt} = this;
    if (cause !== span.cause || slowedShare !== span.slowedShare) return false;
    const isInProgress = span.begin <= observedAt && begin === observedAt;
    return isInProgress || begin === span.begin;
  }

  /** A task is marked done after its run is cleared, so it is seen only here. */
  private recordDoneTasks(): void {
    for (const task of this.ended) {
      if (!task.isDone) continue;
      this.tails.recordDone(task);
      this.repeatedWork.forget(task);
    }
    this.ended.clear();
  }

  private nextSpan({
    hasUnplacedTasks,
    nextDueInstant,
  }: RoundObservation): TimeSpan {
    const {runs, tails, observedAt: begin} = this;
    if (hasUnplacedTasks) return {begin, cause: 'room', slowedShare: 0};
    if (runs.hasStarting) return {begin, cause: 'ordered', slowedShare: 0};
    if (runs.hasRepeating) return {begin, cause: 'repeat', slowedShare: 0};
    if (runs.isEmpty && nextDueInstant !== undefined) {
      const due = Math.max(nextDueInstant, begin);
      return {begin: due, cause: 'ordered', slowedShare: 0};
    }
    const cause = tails.isInTail ? 'straggler' : 'work';
    return {begin, cause, slowedShare: runs.slowedShare};
  }
}
