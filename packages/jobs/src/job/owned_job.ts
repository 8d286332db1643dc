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
const RUNS_PER_OWNERSHIP = 1_000;

/** A job that this entry owns, with what its tasks are doing. */
export class OwnedJob {
  private readonly tasksByName = new Map<string, OwnedTask>();
  /** Local instant since which nothing of it runs though a task is due. */
  idleSince: number | undefined;
  /** Whether a task that is due found no worker when it was last tried. */
  isWaiting = false;
  /** Whether this owner has ordered a run of it. */
  hasOrderedRun = false;
  private openOccurrences = 0;
  private hasBegun = false;

  constructor(
    readonly record: JobRecord,
    /** Revision at which the owner took over; run numbers follow it. */
    private readonly epoch: number,
    private readonly currentTerms: () =>
      SchedulingParameters | undefined = () => undefined,
  ) {}

  get id(): string {
    return this.record.key;
  }

  /** Terms of the queue now, or of the acceptance if it is gone. */
  get terms(): SchedulingParameters {
    return this.currentTerms() ?? this.record.terms;
  }

  get tasks(): readonly OwnedTask[] {
    return [...this.tasksByName.values()];
  }

  task(name: string): OwnedTask | undefined {
    return this.tasksByName.get(name);
  }

  /** Whether a task of the job has started, ever. */
  get hasStarted(): boolean {
    return this.hasBegun;
  }

  markStarted(): void {
    this.hasBegun = true;
  }

  get status(): JobStatus {
    return this.hasBegun ? 'running' : 'queued';
  }

  /**
   * Makes the tasks of the occurrences that are due.
   *
   * The instant is in milliseconds since 1970.
   */
  openDueOccurrences(instant: number): void {
    const {occurrences} = this.record.job;
    const count = occurrences?.count ?? 1;
    while (this.openOccurrences < count) {
      const dueGroups = this.dueInstant(this.openOccurrences);
      if (dueGroups > instant) return;
      this.openOccurrence(this.openOccurrences);
      this.openOccurrences += 1;
    }
  }

  /** When the next occurrence is due; undefined when all are open. */
  get nextInstant(): number | undefined {
    const count = this.record.job.occurrences?.count ?? 1;
    const isAllOpen = this.openOccurrences >= count;
    return isAllOpen ? undefined : this.dueInstant(this.openOccurrences);
  }

  /** Tasks that may start now, in groups that must start together. */
  due(now: number): readonly (readonly OwnedTask[])[] {
    const groups: (readonly OwnedTask[])[] = [];
    for (const members of this.groups()) {
      const [first] = members;
      if (!first || !this.isUnlocked(first)) continue;
      const due = members.filter(one => one.isDue(now));
      if (!first.step.isGang) groups.push(...due.map(one => [one]));
      else if (due.length === members.length) groups.push(due);
    }
    return groups;
  }

  /** Members of the task's step in its occurrence. */
  gangOf(task: OwnedTask): readonly OwnedTask[] {
    const {occurrence, stepNumber} = task.position;
    return this.groupOf(occurrence, stepNumber);
  }

  /** Whether it can't be complete within its objective any more. */
  isLate(now: number): boolean {
    const {slackFactor, objectiveMilliseconds} = this.terms;
    const limit = slackFactor * this.chain(() => true) + objectiveMilliseconds;
    const left = this.chain(number => !this.isStepDone(number));
    return now + left > this.record.acceptedInstant + limit;
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
    const {attempts} = this.terms;
    const isSpent = (task: OwnedTask) =>
      !task.step.isLasting && !task.isDone && task.failureCount >= attempts;
    if (tasks.some(isSpent)) return 'failed';
    const isAllOpen = this.nextInstant === undefined;
    const isComplete = isAllOpen && tasks.every(task => task.isDone);
    return isComplete ? 'complete' : 'accepted';
  }

  /** What is durable of the tasks. */
  get progress(): JobProgress {
    const {tasks} = this;
    const short = (task: OwnedTask) => TaskName.withoutJobId(task.name);
    const open = tasks.filter(task => !task.isDone);
    return {
      done: tasks.filter(task => task.isDone).map(short),
      failedRuns: Object.fromEntries(
        open
          .filter(one => one.failureCount > 0)
          .map(o => [short(o), o.failedRuns]),
      ),
      checkpoints: Object.fromEntries(
        open.filter(one => one.checkpoint).map(o => [short(o), o.checkpoint]),
      ),
    };
  }

  /** Estimate of the longest chain of steps that count, in milliseconds. */
  private chain(counts: (stepNumber: number) => boolean): number {
    const ends: number[] = [];
    this.record.job.steps.forEach((step, number) => {
      const before = Math.max(0, ...step.after.map(one => ends[one] ?? 0));
      ends.push(before + (counts(number) ? step.estimateMilliseconds : 0));
    });
    return Math.max(0, ...ends);
  }

  private isStepDone(stepNumber: number): boolean {
    const last = this.openOccurrences - 1;
    return this.groupOf(last, stepNumber).every(one => one.isDone);
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
    const firstRun = this.epoch * RUNS_PER_OWNERSHIP;
    this.record.job.steps.forEach((step, stepNumber) => {
      for (let index = 0; index < step.count; index += 1) {
        const name = TaskName.format(id, occurrence, stepNumber, index);
        const short = TaskName.withoutJobId(name);
        const place = {name, occurrence, stepNumber, step};
        const task = new OwnedTask(place, firstRun);
        task.isDone = isDone.has(short);
        task.failedRuns = failedRuns[short] ?? [];
        task.checkpoint = checkpoints[short] ?? '';
        this.tasksByName.set(name, task);
      }
    });
  }

  private groups(): readonly (readonly OwnedTask[])[] {
    return Array.from({length: this.openOccurrences}, (_, occurrence) =>
      this.record.job.steps.map((_step, number) =>
        this.groupOf(occurrence, number),
      ),
    ).flat();
  }

  private groupOf(
    occurrence: number,
    stepNumber: number,
  ): readonly OwnedTask[] {
    return this.tasks.filter(
      ({position}) =>
        position.occurrence === occurrence &&
        position.stepNumber === stepNumber,
    );
  }

  private isUnlocked(task: OwnedTask): boolean {
    const {occurrence, step} = task.position;
    return step.after.every(earlier =>
      this.groupOf(occurrence, earlier).every(one => one.isDone),
    );
  }
}
