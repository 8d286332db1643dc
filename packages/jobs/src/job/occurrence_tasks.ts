import type {OwnedTask} from './owned_task.js';

/** The tasks of one occurrence, by step. */
type TasksByStep = readonly (readonly OwnedTask[])[];

/**
 * The tasks of a job, of the occurrences that have begun and are not removed.
 *
 * An ended occurrence is removed once its end is durable, so that the tasks are
 * no more than those of the open occurrences.
 */
export class OccurrenceTasks {
  private readonly byName = new Map<string, OwnedTask>();
  private readonly byOccurrence = new Map<number, TasksByStep>();
  /** Undefined after a change, until it is asked for. */
  private allTasks: readonly OwnedTask[] | undefined;
  private begunCount = 0;

  /** Number of occurrences that have begun; the next one has this number. */
  get occurrenceCount(): number {
    return this.begunCount;
  }

  get all(): readonly OwnedTask[] {
    this.allTasks ??= [...this.byName.values()];
    return this.allTasks;
  }

  /** Numbers of the occurrences that have tasks, in their order. */
  get numbers(): readonly number[] {
    return [...this.byOccurrence.keys()];
  }

  /** Numbers of the occurrences that have not ended, in their order. */
  get unended(): readonly number[] {
    return this.numbers.filter(one => !this.hasEnded(one));
  }

  /** Number after the last occurrence that has ended; 0 without one. */
  get endedBefore(): number {
    let last = this.begunCount - 1;
    while (last >= 0 && !this.hasEnded(last)) last -= 1;
    return last + 1;
  }

  get(name: string): OwnedTask | undefined {
    return this.byName.get(name);
  }

  /** Adds the tasks of an occurrence; those before it have begun, too. */
  addOccurrence(occurrence: number, steps: TasksByStep): void {
    this.beginAllBefore(occurrence + 1);
    this.byOccurrence.set(occurrence, steps);
    for (const task of steps.flat()) this.byName.set(task.name, task);
    this.allTasks = undefined;
  }

  /** Records that these occurrences have begun; those without tasks have ended. */
  beginAllBefore(occurrence: number): void {
    this.begunCount = Math.max(this.begunCount, occurrence);
  }

  removeOccurrence(occurrence: number): void {
    const tasks = this.ofOccurrence(occurrence).flat();
    for (const task of tasks) this.byName.delete(task.name);
    this.byOccurrence.delete(occurrence);
    this.allTasks = undefined;
  }

  /** The tasks of all steps of an occurrence; none before it has tasks. */
  ofOccurrence(occurrence: number): TasksByStep {
    return this.byOccurrence.get(occurrence) ?? [];
  }

  ofStep(occurrence: number, stepNumber: number): readonly OwnedTask[] {
    return this.ofOccurrence(occurrence)[stepNumber] ?? [];
  }

  /** Whether each task of an occurrence that has begun is done. */
  private hasEnded(occurrence: number): boolean {
    const steps = this.ofOccurrence(occurrence);
    return steps.every(step => step.every(task => task.isDone));
  }
}
