import type {ClassLoad, WorkerAnnouncement} from '@chicoryspring/contracts';
import {serviceClassOf} from '@chicoryspring/workers';
import type {HiddenPairTable} from '../interference/hidden_pair_table.js';
import type {FakeTask} from './fake_task_types.js';

/** One worker of the fake: its tasks disturb each other and the service. */
export class FakeFleetWorker {
  private tasks: readonly FakeTask[] = [];

  constructor(readonly announcement: WorkerAnnouncement) {}

  get running(): readonly FakeTask[] {
    return this.tasks;
  }

  start(task: FakeTask): void {
    this.tasks = [...this.tasks, task];
  }

  /** Runs for a time; returns the tasks that ended and the work done. */
  run(
    table: HiddenPairTable,
    milliseconds: number,
  ): {readonly ended: readonly FakeTask[]; readonly work: number} {
    let work = 0;
    const moved = this.tasks.map(one => {
      const pace = 1 / this.slowdownOf(table, one.task.taskClass);
      const done = Math.min(one.remainingMilliseconds, milliseconds * pace);
      work += done * one.task.resources.processors;
      return {
        ...one,
        remainingMilliseconds: one.remainingMilliseconds - done,
      };
    });
    this.tasks = moved.filter(one => one.remainingMilliseconds > 0);
    return {ended: moved.filter(one => one.remainingMilliseconds <= 0), work};
  }

  /** Slowdown of the service beside the tasks. */
  serviceSlowdown(table: HiddenPairTable): number {
    const service = serviceClassOf(this.announcement.service ?? '');
    const harm = this.tasks.reduce(
      (sum, {task}) => sum + table.harmOf(service, task.taskClass),
      0,
    );
    return (1 + harm) * this.crowding;
  }

  /** What a measurement shows, class by class. */
  measure(table: HiddenPairTable): readonly ClassLoad[] {
    const classes = [...new Set(this.tasks.map(one => one.task.taskClass))];
    return classes.map(taskClass => {
      const tasks = this.tasks.filter(one => one.task.taskClass === taskClass);
      const sum = (of: (one: FakeTask) => number) =>
        tasks.reduce((total, one) => total + of(one), 0);
      return {
        taskClass,
        tasks: tasks.length,
        usedProcessors: sum(one => one.usedProcessors),
        declaredProcessors: sum(one => one.task.resources.processors),
        pace: 1 / this.slowdownOf(table, taskClass),
      };
    });
  }

  private slowdownOf(table: HiddenPairTable, taskClass: string): number {
    const all = this.tasks.reduce(
      (sum, {task}) => sum + table.harmOf(taskClass, task.taskClass),
      0,
    );
    const harm = all - table.harmOf(taskClass, taskClass);
    return (1 + harm) * this.crowding;
  }

  /** Slowdown because more processors are used than there are. */
  private get crowding(): number {
    const {processors} = this.announcement.capacity;
    const used = this.tasks.reduce((sum, one) => sum + one.usedProcessors, 0);
    return Math.max(1, used / processors);
  }
}
