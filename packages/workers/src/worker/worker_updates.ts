import {
  ResourcesArithmetic,
  type ClassLoad,
  type Task,
  type WorkerAnnouncement,
  type WorkerLoad,
} from '@chicoryspring/contracts';
import type {ClassCount} from './class_count_types.js';
import type {Worker} from './worker_types.js';

/** Creates `Worker` values; each update returns a new value. */
export class WorkerUpdates {
  /** Applies an announcement; a new worker has no load report yet. */
  static fromAnnouncement(
    announcement: WorkerAnnouncement,
    known?: Worker | undefined,
  ): Worker {
    if (known) return {...known, announcement};
    const {capacity, running} = announcement;
    const free = running.reduce(
      (remaining, one) =>
        ResourcesArithmetic.subtract(remaining, one.resources),
      capacity,
    );
    const load = {
      free,
      requestsInFlight: 0,
      tailMilliseconds: 0,
      measured: ResourcesArithmetic.none,
    };
    const counts = running.reduce<readonly ClassCount[]>(
      (sum, one) => addTask(sum, one.taskClass),
      [],
    );
    return {announcement, load, running: counts, isLinked: true};
  }

  /** Applies a load report. */
  static withLoad(worker: Worker, load: WorkerLoad): Worker {
    const running = load.classes?.map(toCount) ?? worker.running;
    return {...worker, load, running};
  }

  /** Counts a placed task that no load report includes yet. */
  static withPlacement(worker: Worker, task: Task): Worker {
    const free = ResourcesArithmetic.subtract(worker.load.free, task.resources);
    const running = addTask(worker.running, task.taskClass);
    return {...worker, load: {...worker.load, free}, running};
  }

  /** Subtracts an ended task that the last load report still includes. */
  static withEnding(worker: Worker, task: Task): Worker {
    const free = ResourcesArithmetic.add(worker.load.free, task.resources);
    const running = worker.running.map(one =>
      one.taskClass === task.taskClass
        ? {...one, tasks: Math.max(0, one.tasks - 1)}
        : one,
    );
    return {...worker, load: {...worker.load, free}, running};
  }

  /** Number of tasks of a class that run on the worker. */
  static taskCount(worker: Worker, taskClass: string): number {
    const found = worker.running.find(one => one.taskClass === taskClass);
    return found?.tasks ?? 0;
  }
}

function toCount({taskClass, tasks}: ClassLoad): ClassCount {
  return {taskClass, tasks};
}

function addTask(
  counts: readonly ClassCount[],
  taskClass: string,
): readonly ClassCount[] {
  const known = counts.find(one => one.taskClass === taskClass);
  if (!known) return [...counts, {taskClass, tasks: 1}];
  const incremented = {taskClass, tasks: known.tasks + 1};
  return counts.map(one => (one === known ? incremented : one));
}
