import {TaskName, type JobProgress} from '@chicoryspring/contracts';
import type {OwnedTask} from './owned_task.js';

/** Converts between the tasks of a job and the durable part of their state. */
export class TaskProgress {
  /** The durable part of the state of all tasks of a job. */
  static of(tasks: readonly OwnedTask[]): JobProgress {
    const open = tasks.filter(task => !task.isDone);
    const crashed = open.filter(one => one.crashes.runs.length > 0);
    const crashedLate = open.filter(one => one.crashes.lateRuns.length > 0);
    const failed = open.filter(one => one.failureCount > 0);
    const checkpointed = open.filter(one => one.checkpoint);
    return {
      done: tasks.filter(task => task.isDone).map(shortNameOf),
      failedRuns: byShortName(failed, one => one.failedRuns),
      ...(crashed.length > 0 && {
        crashedRuns: byShortName(crashed, one => one.crashes.runs),
      }),
      ...(crashedLate.length > 0 && {
        lateCrashedRuns: byShortName(crashedLate, one => one.crashes.lateRuns),
      }),
      checkpoints: byShortName(checkpointed, one => one.checkpoint),
    };
  }

  /** Gives new tasks the state that the progress has of them. */
  static restore(tasks: readonly OwnedTask[], progress: JobProgress): void {
    const {failedRuns, checkpoints} = progress;
    const {crashedRuns = {}, lateCrashedRuns = {}} = progress;
    const done = new Set(progress.done);
    for (const task of tasks) {
      const name = shortNameOf(task);
      task.isDone = done.has(name);
      task.failedRuns = failedRuns[name] ?? [];
      task.crashes.restore(crashedRuns[name] ?? [], lateCrashedRuns[name]);
      task.checkpoint = checkpoints[name] ?? '';
    }
  }

  /** Number of the last occurrence that the progress names; -1 for none. */
  static lastOccurrence(progress: JobProgress): number {
    const {done, failedRuns, checkpoints} = progress;
    const {crashedRuns = {}, lateCrashedRuns = {}} = progress;
    const byTask = [failedRuns, crashedRuns, lateCrashedRuns, checkpoints];
    const names = [done, ...byTask.map(Object.keys)];
    return names
      .flat()
      .map(name => TaskName.parseOccurrence(name))
      .reduce((one, other) => Math.max(one, other), -1);
  }
}

function shortNameOf(task: OwnedTask): string {
  return TaskName.withoutJobId(task.name);
}

function byShortName<Value>(
  tasks: readonly OwnedTask[],
  valueOf: (task: OwnedTask) => Value,
): Readonly<Record<string, Value>> {
  return Object.fromEntries(tasks.map(one => [shortNameOf(one), valueOf(one)]));
}
