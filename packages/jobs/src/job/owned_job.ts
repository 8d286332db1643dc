import {
  TaskName,
  type JobProgress,
  type JobRecord,
  type JobState,
  type JobStatus,
  type SchedulingParameters,
} from '@chicoryspring/contracts';
import {criticalPathOf} from './critical_path.js';
import {OccurrenceTasks} from './occurrence_tasks.js';
import {OwnedTask} from './owned_task.js';
import {TaskCheckpoint} from './task_checkpoint.js';
import {StoredProgress} from './stored_progress.js';
import {TaskProgress} from './task_progress.js';
import {JobTimeAccount} from '../time_account/job_time_account.js';
import {timeFields} from '../time_account/time_fields.js';

/** Run numbers reserved for each shard epoch; a later owner's are higher. */
const RUN_NUMBERS_PER_SHARD_EPOCH = 1_000;

/** A job that this entry owns, with the state of its tasks. */
export class OwnedJob {
  private readonly occurrenceTasks = new OccurrenceTasks();
  /** Local instant since which a task is due but no task has a run. */
  idleSince: number | undefined;
  /** Whether this owner has sent a start order for one of its tasks. */
  hasOrderedRun = false;
  /** Where the time of the job went since this owner has it. */
  readonly timeAccount: JobTimeAccount;
  private isMarkedStarted = false;
  private readonly isLasting: boolean;
  /** Estimated milliseconds of all steps; they never change. */
  private fullCriticalPath: number | undefined;
  /** Failed runs of the tasks of occurrences that were removed. */
  private removedFailureCount = 0;

  constructor(
    readonly record: JobRecord,
    /** Shard epoch: revision of the acquisition; run numbers rise with it. */
    readonly epoch: number,
    private readonly currentParameters: () =>
      SchedulingParameters | undefined = () => undefined,
    /** Local instant since which this entry owns the job. */
    ownedSince = record.acceptedInstant,
  ) {
    this.isLasting = record.job.steps.some(step => step.isLasting);
    this.timeAccount = new JobTimeAccount(
      Math.max(ownedSince, this.dueInstant(0)),
      record.job.steps.length,
      task => this.gangOf(task),
    );
    const {job, progress} = record;
    const taskCount = job.steps.reduce((sum, {count}) => sum + count, 0);
    const stored = new StoredProgress(progress, taskCount);
    // They were due on the clock of a previous owner, which may be ahead.
    for (const occurrence of stored.openOccurrences) {
      this.openOccurrence(occurrence);
      stored.restore(this.occurrenceTasks.ofOccurrence(occurrence).flat());
    }
    this.occurrenceTasks.beginAllBefore(stored.lastOccurrence + 1);
  }

  get id(): string {
    return this.record.key;
  }

  /** Those of the queue now, or as accepted if the queue no longer exists. */
  get schedulingParameters(): SchedulingParameters {
    return this.currentParameters() ?? this.record.terms;
  }

  get tasks(): readonly OwnedTask[] {
    return this.occurrenceTasks.all;
  }

  task(name: string): OwnedTask | undefined {
    return this.occurrenceTasks.get(name);
  }

  /**
   * A task whose run or ending an agent reports; undefined if the job has no
   * such task, or if its occurrence has durably ended. An occurrence that was due
   * on the clock of a previous owner has tasks from now on, due on this clock or not.
   */
  reportedTask(name: string): OwnedTask | undefined {
    const count = this.record.job.occurrences?.count ?? 1;
    const occurrence = TaskName.parseOccurrence(name);
    if (occurrence < count) this.openOccurrencesUpTo(occurrence);
    return this.task(name);
  }

  /** Whether a task of the job has ever started. */
  get hasStarted(): boolean {
    return this.isMarkedStarted;
  }

  markStarted(): void {
    this.isMarkedStarted = true;
  }

  get status(): JobStatus {
    return this.isMarkedStarted ? 'running' : 'queued';
  }

  /**
   * Creates the tasks of the occurrences that are due.
   *
   * The instant is in milliseconds since 1970.
   */
  openDueOccurrences(instant: number): void {
    const {occurrences} = this.record.job;
    const count = occurrences?.count ?? 1;
    while (this.openOccurrenceCount < count) {
      if (this.dueInstant(this.openOccurrenceCount) > instant) return;
      this.openOccurrence(this.openOccurrenceCount);
    }
  }

  /** When the next occurrence is due; undefined when all have their tasks. */
  get nextDueInstant(): number | undefined {
    const count = this.record.job.occurrences?.count ?? 1;
    const isAllOpen = this.openOccurrenceCount >= count;
    return isAllOpen ? undefined : this.dueInstant(this.openOccurrenceCount);
  }

  /**
   * Tasks that may start now: whole gangs, and groups of a single task.
   *
   * An occurrence may have tasks before it is due on this clock.
   */
  dueGroups(now: number): readonly (readonly OwnedTask[])[] {
    const groups: (readonly OwnedTask[])[] = [];
    for (const members of this.stepGroups(now)) {
      const [first] = members;
      if (!first || !this.areDependenciesDone(first)) continue;
      const due = members.filter(one => one.isDue(now));
      if (!first.step.isGang) groups.push(...due.map(one => [one]));
      else if (due.length === members.length) groups.push(due);
    }
    return groups;
  }

  /** Whether any group of tasks may start now. */
  hasDueTasks(now: number): boolean {
    const isAnyDue = this.occurrenceTasks.all.some(one => one.isDue(now));
    return isAnyDue && this.dueGroups(now).length > 0;
  }

  /** Whether any task has a run. */
  get hasRuns(): boolean {
    return this.occurrenceTasks.all.some(one => one.run !== undefined);
  }

  /** All tasks of the same step and occurrence. */
  gangOf(task: OwnedTask): readonly OwnedTask[] {
    const {occurrence, stepNumber} = task.position;
    return this.occurrenceTasks.ofStep(occurrence, stepNumber);
  }

  /** Whether the unfinished steps are estimated to take longer than is left. */
  isLate(now: number): boolean {
    return this.slackMilliseconds(now) < 0;
  }

  /**
   * What is left of the limit beyond the estimate of the unfinished steps.
   *
   * The limit, counted from acceptance, is the critical path of all steps times
   * the slack factor, plus `objectiveMilliseconds`. A job with tasks that last has
   * none: they serve their users again as soon as they run again.
   */
  slackMilliseconds(now: number): number {
    if (this.isLasting) return Infinity;
    const {steps} = this.record.job;
    const {slackFactor, objectiveMilliseconds} = this.schedulingParameters;
    this.fullCriticalPath ??= criticalPathOf(steps, () => true);
    const limit = slackFactor * this.fullCriticalPath + objectiveMilliseconds;
    const remaining = criticalPathOf(steps, number => !this.isStepDone(number));
    return this.record.acceptedInstant + limit - (now + remaining);
  }

  /** Log fields of an ended job. */
  summary(now: number) {
    const {acceptedInstant} = this.record;
    const {accountedFrom} = this.timeAccount;
    return {
      jobId: this.id,
      state: this.outcome,
      sinceAcceptedMilliseconds: Math.round(now - acceptedInstant),
      isLate: this.isLate(now),
      failedRuns: this.removedFailureCount + failureCountOf(this.tasks),
      accountedSince: Math.round(accountedFrom - acceptedInstant),
      ...timeFields(this.timeAccount.totals(now)),
    };
  }

  /** State of the job that follows from its tasks. */
  get outcome(): JobState {
    const {tasks} = this;
    const {attempts} = this.schedulingParameters;
    const hasNoAttemptsLeft = (task: OwnedTask) =>
      !task.step.isLasting && !task.isDone && task.failureCount >= attempts;
    const isGivenUp = (task: OwnedTask) =>
      !task.isDone && task.crashes.isGivenUp;
    if (tasks.some(hasNoAttemptsLeft) || tasks.some(isGivenUp)) return 'failed';
    const isAllOpen = this.nextDueInstant === undefined;
    const isComplete = isAllOpen && tasks.every(task => task.isDone);
    return isComplete ? 'complete' : 'accepted';
  }

  /** The durable part of the tasks' state. */
  get progress(): JobProgress {
    return TaskProgress.of(this.occurrenceTasks);
  }

  /**
   * Removes the occurrences that ended by a progress that is durable now. One
   * with a run stays until that is cleared.
   */
  removeEnded({completed}: JobProgress): void {
    if (!completed) return;
    const open = new Set(completed.open);
    for (const occurrence of this.occurrenceTasks.numbers) {
      if (occurrence >= completed.endedBefore) return;
      const tasks = this.occurrenceTasks.ofOccurrence(occurrence).flat();
      const hasRun = tasks.some(one => one.run !== undefined);
      if (open.has(occurrence) || hasRun) continue;
      this.removedFailureCount += failureCountOf(tasks);
      this.occurrenceTasks.removeOccurrence(occurrence);
    }
  }

  /** Whether the step is done in the last occurrence that has tasks. */
  private isStepDone(stepNumber: number): boolean {
    const last = this.openOccurrenceCount - 1;
    return this.occurrenceTasks
      .ofStep(last, stepNumber)
      .every(one => one.isDone);
  }

  private get openOccurrenceCount(): number {
    return this.occurrenceTasks.occurrenceCount;
  }

  private dueInstant(occurrence: number): number {
    const {occurrences} = this.record.job;
    if (!occurrences) return 0;
    const {firstInstant, intervalMilliseconds} = occurrences;
    return firstInstant + occurrence * intervalMilliseconds;
  }

  private openOccurrencesUpTo(last: number): void {
    while (this.openOccurrenceCount <= last)
      this.openOccurrence(this.openOccurrenceCount);
  }

  private openOccurrence(occurrence: number): void {
    const {id, timeAccount} = this;
    const {job} = this.record;
    const baseRunNumber = this.epoch * RUN_NUMBERS_PER_SHARD_EPOCH;
    const steps = job.steps.map((step, stepNumber) => {
      const ofGang = step.isGang ? new TaskCheckpoint() : undefined;
      return Array.from({length: step.count}, (_, index) => {
        const name = TaskName.format(id, occurrence, stepNumber, index);
        const position = {name, occurrence, stepNumber, step};
        return new OwnedTask(position, baseRunNumber, timeAccount, ofGang);
      });
    });
    this.occurrenceTasks.addOccurrence(occurrence, steps);
  }

  /** The tasks of the occurrences that are due, by occurrence and step. */
  private stepGroups(now: number): readonly (readonly OwnedTask[])[] {
    const {numbers} = this.occurrenceTasks;
    const due = numbers.filter(
      occurrence => this.dueInstant(occurrence) <= now,
    );
    return due.flatMap(occurrence =>
      this.occurrenceTasks.ofOccurrence(occurrence),
    );
  }

  private areDependenciesDone(task: OwnedTask): boolean {
    const {occurrence, step} = task.position;
    return step.after.every(dependency =>
      this.occurrenceTasks
        .ofStep(occurrence, dependency)
        .every(one => one.isDone),
    );
  }
}

function failureCountOf(tasks: readonly OwnedTask[]): number {
  return tasks.reduce((sum, one) => sum + one.failureCount, 0);
}
