import {TaskName, type JobProgress} from '@chicoryspring/contracts';
import type {OwnedTask} from './owned_task.js';

/** The durable progress of a job, indexed once for all of its occurrences. */
export class StoredProgress {
  /** Number of the last occurrence that the progress names; -1 for none. */
  readonly lastOccurrence: number;
  private readonly done: ReadonlySet<string>;
  private readonly doneCounts = new Map<number, number>();

  constructor(
    private readonly progress: JobProgress,
    private readonly tasksPerOccurrence: number,
  ) {
    const {done, completed} = progress;
    this.done = new Set(done ?? completed?.tasks);
    for (const name of this.done) {
      const occurrence = TaskName.parseOccurrence(name);
      this.doneCounts.set(occurrence, this.doneCountOf(occurrence) + 1);
    }
    const {failedRuns, checkpoints, crashedRuns, lateCrashedRuns} = progress;
    const byTask = [failedRuns, crashedRuns, lateCrashedRuns, checkpoints];
    const names = byTask.flatMap(one => Object.keys(one ?? {}));
    const named = names.map(name => TaskName.parseOccurrence(name));
    this.lastOccurrence = [...this.doneCounts.keys(), ...named].reduce(
      (one, other) => Math.max(one, other),
      (completed?.endedBefore ?? 0) - 1,
    );
  }

  /** Occurrences up to the last one that have not ended, in their order. */
  get openOccurrences(): readonly number[] {
    const {endedBefore = 0, open = []} = this.progress.completed ?? {};
    const length = Math.max(0, this.lastOccurrence + 1 - endedBefore);
    const later = Array.from({length}, (_, n) => endedBefore + n);
    return [...open, ...later].filter(
      one => this.doneCountOf(one) < this.tasksPerOccurrence,
    );
  }

  /** Gives new tasks the state that the progress has of them. */
  restore(tasks: readonly OwnedTask[]): void {
    const {failedRuns, checkpoints} = this.progress;
    const {crashedRuns = {}, lateCrashedRuns = {}} = this.progress;
    const {failureCounts = {}} = this.progress;
    for (const task of tasks) {
      const name = TaskName.withoutJobId(task.name);
      task.isDone = this.done.has(name);
      task.failures.restore(failedRuns[name] ?? [], failureCounts[name]);
      task.crashes.restore(crashedRuns[name] ?? [], lateCrashedRuns[name]);
      task.restoreCheckpoint(checkpoints[name] ?? '');
    }
  }

  private doneCountOf(occurrence: number): number {
    return this.doneCounts.get(occurrence) ?? 0;
  }
}
