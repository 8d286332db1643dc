import {TaskName, type JobProgress} from '@chicoryspring/contracts';
import type {OccurrenceTasks} from './occurrence_tasks.js';
import type {OwnedTask} from './owned_task.js';

/** Builds the durable part of the state of the tasks of a job. */
export class TaskProgress {
  static of(occurrences: OccurrenceTasks): JobProgress {
    const {all, endedBefore} = occurrences;
    const open = all.filter(task => !task.isDone);
    const crashed = open.filter(one => one.crashes.runs.length > 0);
    const crashedLate = open.filter(one => one.crashes.lateRuns.length > 0);
    const failed = open.filter(one => one.failureCount > 0);
    const failedOften = failed.filter(
      ({failures}) => failures.count > failures.runs.length,
    );
    const checkpointed = open.filter(one => one.checkpoint);
    return {
      ...(endedBefore === 0
        ? {done: all.filter(task => task.isDone).map(shortNameOf)}
        : {completed: completedTasks(occurrences, endedBefore)}),
      failedRuns: byShortName(failed, one => one.failures.runs),
      ...(failedOften.length > 0 && {
        failureCounts: byShortName(failedOften, one => one.failureCount),
      }),
      ...(crashed.length > 0 && {
        crashedRuns: byShortName(crashed, one => one.crashes.runs),
      }),
      ...(crashedLate.length > 0 && {
        lateCrashedRuns: byShortName(crashedLate, one => one.crashes.lateRuns),
      }),
      checkpoints: byShortName(checkpointed, one => one.checkpoint),
    };
  }
}

function completedTasks(occurrences: OccurrenceTasks, endedBefore: number) {
  const {unended} = occurrences;
  const tasks = unended.flatMap(one => occurrences.ofOccurrence(one).flat());
  return {
    endedBefore,
    open: unended.filter(one => one < endedBefore),
    tasks: tasks.filter(task => task.isDone).map(shortNameOf),
  };
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
