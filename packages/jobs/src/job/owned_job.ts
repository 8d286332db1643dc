import {
  TaskName,
  type JobProgress,
  type JobRecord,
  type JobState,
  type JobStatus,
  type SchedulingParameters,
} from '@chicoryspring/contracts';
import {OwnedTask} from './owned_task.js';

/** Run numbers reserved for each shard epoch; a later owner's are higher. */
const RUN_NUMBERS_PER_SHARD_EPOCH = 1_000;

/** A job that this entry owns, with the state of its tasks. */
export class OwnedJob {
  private readonly tasksByName = new Map<string, OwnedTask>();
  /** Local instant since which a task is due but no task has a run. */
  idleSince: number | undefined;
  /** Whether this owner has sent a start order for one of its tasks. */
  hasOrderedRun = false;
  private openOccurrenceCount = 0;
  private isMarkedStarted = false;

  constructor(
    readonly record: JobRecord,
    /** Shard epoch: revision of the acquisition; run numbers rise with it. */
    readonly epoch: number,
    private readonly currentParameters: () =>
      SchedulingParameters | undefined = () => undefined,
  ) {
    this.openRecordedOccurrences();
  }

  get id(): string {
    return this.record.key;
  }

  /** Those of the queue now, or as accepted if the queue no longer exists. */
  get schedulingParameters(): SchedulingParameters {
    return this.currentParameters() ?? this.record.terms;
  }

  get tasks(): readonly OwnedTask[] {
    return [...this.tasksByName.values()];
  }

  task(name: string): OwnedTask | undefined {
    return this.tasksByName.get(name);
  }

  /**
   * A task whose run or ending an agent reports; undefined if the job has no
   * such task. Its occurrence was due on the clock of a previous owner, so it
   * has tasks from now on, due on this clock or not.
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
      this.openNextOccurrence();
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

  /** All tasks of the same step and occurrence. */
  gangOf(task: OwnedTask): readonly OwnedTask[] {
    const {occurrence, stepNumber} = task.position;
    return this.tasksOfStep(occurrence, stepNumber);
  }

  /**
   * Whether the unfinished steps are estimated to take longer than is left.
   *
   * The limit, counted from acceptance, is the critical path of all steps times
   * the slack factor, plus `objectiveMilliseconds`.
   */
  isLate(now: number): boolean {
    const {slackFactor, objectiveMilliseconds} = this.schedulingParameters;
    const limit =
      slackFactor * this.criticalPath(() => true) + objectiveMilliseconds;
    const remaining = this.criticalPath(number => !this.isStepDone(number));
    return now + remaining > this.record.acceptedInstant + limit;
  }

  /** Log fields of an ended job. */
  summary(now: number) {
    return {
      jobId: this.id,
      state: this.outcome,
      sinceAcceptedMilliseconds: Math.round(now - this.record.acceptedInstant),
      isLate: this.isLate(now),
      failedRuns: this.tasks.reduce((sum, one) => sum + one.failureCount, 0),
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
    const {tasks} = this;
    const shortNameOf = (task: OwnedTask) => TaskName.withoutJobId(task.name);
    const open = tasks.filter(task => !task.isDone);
    const crashed = open.filter(one => one.crashes.runs.length > 0);
    const crashedLate = open.filter(one => one.crashes.lateRuns.length > 0);
    return {
      done: tasks.filter(task => task.isDone).map(shortNameOf),
      failedRuns: Object.fromEntries(
        open
          .filter(one => one.failureCount > 0)
          .map(one => [shortNameOf(one), one.failedRuns]),
      ),
      ...(crashed.length > 0 && {
        crashedRuns: Object.fromEntries(
          crashed.map(one => [shortNameOf(one), one.crashes.runs]),
        ),
      }),
      ...(crashedLate.length > 0 && {
        lateCrashedRuns: Object.fromEntries(
          crashedLate.map(one => [shortNameOf(one), one.crashes.lateRuns]),
        ),
      }),
      checkpoints: Object.fromEntries(
        open
          .filter(one => one.checkpoint)
          .map(one => [shortNameOf(one), one.checkpoint]),
      ),
    };
  }

  /** Estimated milliseconds of the critical path of the counted steps. */
  private criticalPath(isCounted: (stepNumber: number) => boolean): number {
    const finishTimes: number[] = [];
    this.record.job.steps.forEach((step, number) => {
      const start = Math.max(
        0,
        ...step.after.map(one => finishTimes[one] ?? 0),
      );
      finishTimes.push(
        start + (isCounted(number) ? step.estimateMilliseconds : 0),
      );
    });
    return Math.max(0, ...finishTimes);
  }

  /** Whether the step is done in the last occurrence that has tasks. */
  private isStepDone(stepNumber: number): boolean {
    const last = this.openOccurrenceCount - 1;
    return this.tasksOfStep(last, stepNumber).every(one => one.isDone);
  }

  private dueInstant(occurrence: number): number {
    const {occurrences} = this.record.job;
    if (!occurrences) return 0;
    const {firstInstant, intervalMilliseconds} = occurrences;
    return firstInstant + occurrence * intervalMilliseconds;
  }

  /**
   * Creates the tasks of the occurrences that the record names. They were due
   * on the clock of a previous owner, which may have been ahead of this one.
   */
  private openRecordedOccurrences(): void {
    const {done, failedRuns, checkpoints} = this.record.progress;
    const {crashedRuns = {}, lateCrashedRuns = {}} = this.record.progress;
    const byTask = [failedRuns, crashedRuns, lateCrashedRuns, checkpoints];
    const names = [done, ...byTask.map(Object.keys)];
    const last = names
      .flat()
      .map(name => TaskName.parseOccurrence(name))
      .reduce((one, other) => Math.max(one, other), -1);
    this.openOccurrencesUpTo(last);
  }

  private openOccurrencesUpTo(last: number): void {
    while (this.openOccurrenceCount <= last) this.openNextOccurrence();
  }

  private openNextOccurrence(): void {
    const occurrence = this.openOccurrenceCount;
    this.openOccurrenceCount += 1;
    const {id} = this;
    const {done, failedRuns, checkpoints} = this.record.progress;
    const {crashedRuns = {}, lateCrashedRuns = {}} = this.record.progress;
    const doneNames = new Set(done);
    const baseRunNumber = this.epoch * RUN_NUMBERS_PER_SHARD_EPOCH;
    this.record.job.steps.forEach((step, stepNumber) => {
      for (let index = 0; index < step.count; index += 1) {
        const name = TaskName.format(id, occurrence, stepNumber, index);
        const shortName = TaskName.withoutJobId(name);
        const position = {name, occurrence, stepNumber, step};
        const task = new OwnedTask(position, baseRunNumber);
        task.isDone = doneNames.has(shortName);
        task.failedRuns = failedRuns[shortName] ?? [];
        task.crashes.restore(
          crashedRuns[shortName] ?? [],
          lateCrashedRuns[shortName],
        );
        task.checkpoint = checkpoints[shortName] ?? '';
        this.tasksByName.set(name, task);
      }
    });
  }

  /** The tasks of the occurrences that are due, by occurrence and step. */
  private stepGroups(now: number): readonly (readonly OwnedTask[])[] {
    const open = Array.from({length: this.openOccurrenceCount}, (_, n) => n);
    const due = open.filter(occurrence => this.dueInstant(occurrence) <= now);
    return due.flatMap(occurrence =>
      this.record.job.steps.map((_step, number) =>
        this.tasksOfStep(occurrence, number),
      ),
    );
  }

  private tasksOfStep(
    occurrence: number,
    stepNumber: number,
  ): readonly OwnedTask[] {
    return this.tasks.filter(
      ({position}) =>
        position.occurrence === occurrence &&
        position.stepNumber === stepNumber,
    );
  }

  private areDependenciesDone(task: OwnedTask): boolean {
    const {occurrence, step} = task.position;
    return step.after.every(dependency =>
      this.tasksOfStep(occurrence, dependency).every(one => one.isDone),
    );
  }
}
