import {
  TaskName,
  type JobProgress,
  type JobRecord,
  type JobState,
  type JobStatus,
  type SchedulingParameters,
} from '@chicoryspring/contracts';
import {OwnedTask} from './owned_task.js';

/** Runs of one ownership, so that a later owner's numbers are higher. */
const RUN_NUMBERS_PER_OWNERSHIP = 1_000;

/** A job that this entry owns, with what its tasks are doing. */
export class OwnedJob {
  private readonly tasksByName = new Map<string, OwnedTask>();
  /** Local instant since which nothing of it runs though a task is due. */
  idleSince: number | undefined;
  /** Whether a task that is due found no worker when it was last tried. */
  isWaiting = false;
  /** Whether this owner has ordered a run of it. */
  hasOrderedRun = false;
  private openOccurrenceCount = 0;
  private isMarkedStarted = false;

  constructor(
    readonly record: JobRecord,
    /** Revision at which the owner took over; run numbers follow it. */
    private readonly epoch: number,
    private readonly currentParameters: () =>
      SchedulingParameters | undefined = () => undefined,
  ) {}

  get id(): string {
    return this.record.key;
  }

  /** Terms of the queue now, or of the acceptance if it is gone. */
  get schedulingParameters(): SchedulingParameters {
    return this.currentParameters() ?? this.record.terms;
  }

  get tasks(): readonly OwnedTask[] {
    return [...this.tasksByName.values()];
  }

  task(name: string): OwnedTask | undefined {
    return this.tasksByName.get(name);
  }

  /** Whether a task of the job has started, ever. */
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
   * Makes the tasks of the occurrences that are due.
   *
   * The instant is in milliseconds since 1970.
   */
  openDueOccurrences(instant: number): void {
    const {occurrences} = this.record.job;
    const count = occurrences?.count ?? 1;
    while (this.openOccurrenceCount < count) {
      const dueInstant = this.dueInstant(this.openOccurrenceCount);
      if (dueInstant > instant) return;
      this.openOccurrence(this.openOccurrenceCount);
      this.openOccurrenceCount += 1;
    }
  }

  /** When the next occurrence is due; undefined when all are open. */
  get nextInstant(): number | undefined {
    const count = this.record.job.occurrences?.count ?? 1;
    const isAllOpen = this.openOccurrenceCount >= count;
    return isAllOpen ? undefined : this.dueInstant(this.openOccurrenceCount);
  }

  /** Tasks that may start now, in groups that must start together. */
  dueGroups(now: number): readonly (readonly OwnedTask[])[] {
    const groups: (readonly OwnedTask[])[] = [];
    for (const members of this.stepGroups()) {
      const [first] = members;
      if (!first || !this.areDependenciesDone(first)) continue;
      const due = members.filter(one => one.isDue(now));
      if (!first.step.isGang) groups.push(...due.map(one => [one]));
      else if (due.length === members.length) groups.push(due);
    }
    return groups;
  }

  /** Members of the task's step in its occurrence. */
  gangOf(task: OwnedTask): readonly OwnedTask[] {
    const {occurrence, stepNumber} = task.position;
    return this.tasksOfStep(occurrence, stepNumber);
  }

  /** Whether it can't be complete within its objective any more. */
  isLate(now: number): boolean {
    const {slackFactor, objectiveMilliseconds} = this.schedulingParameters;
    const limit =
      slackFactor * this.criticalPath(() => true) + objectiveMilliseconds;
    const remaining = this.criticalPath(number => !this.isStepDone(number));
    return now + remaining > this.record.acceptedInstant + limit;
  }

  /** What a log line says of the job. */
  summary(now: number) {
    return {
      jobId: this.id,
      state: this.outcome,
      sinceAcceptedMilliseconds: Math.round(now - this.record.acceptedInstant),
      isLate: this.isLate(now),
      failedRuns: this.tasks.reduce((sum, one) => sum + one.failureCount, 0),
    };
  }

  /** What the tasks make of the state of the job. */
  get outcome(): JobState {
    const {tasks} = this;
    const {attempts} = this.schedulingParameters;
    const hasNoAttemptsLeft = (task: OwnedTask) =>
      !task.step.isLasting && !task.isDone && task.failureCount >= attempts;
    if (tasks.some(hasNoAttemptsLeft)) return 'failed';
    const isAllOpen = this.nextInstant === undefined;
    const isComplete = isAllOpen && tasks.every(task => task.isDone);
    return isComplete ? 'complete' : 'accepted';
  }

  /** What is durable of the tasks. */
  get progress(): JobProgress {
    const {tasks} = this;
    const shortNameOf = (task: OwnedTask) => TaskName.withoutJobId(task.name);
    const open = tasks.filter(task => !task.isDone);
    return {
      done: tasks.filter(task => task.isDone).map(shortNameOf),
      failedRuns: Object.fromEntries(
        open
          .filter(one => one.failureCount > 0)
          .map(one => [shortNameOf(one), one.failedRuns]),
      ),
      checkpoints: Object.fromEntries(
        open
          .filter(one => one.checkpoint)
          .map(one => [shortNameOf(one), one.checkpoint]),
      ),
    };
  }

  /** Estimate of the longest chain of steps that count, in milliseconds. */
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

  private openOccurrence(occurrence: number): void {
    const {id} = this;
    const {done, failedRuns, checkpoints} = this.record.progress;
    const isDone = new Set(done);
    const baseRunNumber = this.epoch * RUN_NUMBERS_PER_OWNERSHIP;
    this.record.job.steps.forEach((step, stepNumber) => {
      for (let index = 0; index < step.count; index += 1) {
        const name = TaskName.format(id, occurrence, stepNumber, index);
        const shortName = TaskName.withoutJobId(name);
        const position = {name, occurrence, stepNumber, step};
        const task = new OwnedTask(position, baseRunNumber);
        task.isDone = isDone.has(shortName);
        task.failedRuns = failedRuns[shortName] ?? [];
        task.checkpoint = checkpoints[shortName] ?? '';
        this.tasksByName.set(name, task);
      }
    });
  }

  private stepGroups(): readonly (readonly OwnedTask[])[] {
    return Array.from({length: this.openOccurrenceCount}, (_, occurrence) =>
      this.record.job.steps.map((_step, number) =>
        this.tasksOfStep(occurrence, number),
      ),
    ).flat();
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
    return step.after.every(earlier =>
      this.tasksOfStep(occurrence, earlier).every(one => one.isDone),
    );
  }
}
