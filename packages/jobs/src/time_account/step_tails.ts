import type {OwnedTask} from '../job/owned_task.js';
import {StepTail} from './step_tail.js';

/** Which steps of a job wait for no more than their last tasks. */
export class StepTails {
  /** The steps that have had a run here and are not done, by `keyOf`. */
  private readonly steps = new Map<number, StepTail>();

  constructor(
    private readonly stepCount: number,
    private readonly tasksOfStep: (task: OwnedTask) => readonly OwnedTask[],
  ) {}

  /** Whether there are runs, all of steps that wait for their last tasks only. */
  get isInTail(): boolean {
    let hasRuns = false;
    for (const step of this.steps.values()) {
      if (!step.hasRuns) continue;
      if (!step.isInTail) return false;
      hasRuns = true;
    }
    return hasRuns;
  }

  addRun(task: OwnedTask): void {
    this.stepOf(task).addRun();
  }

  removeRun(task: OwnedTask): void {
    this.stepOf(task).removeRun();
  }

  /** Counts a task that is done; called once, after its last run. */
  recordDone(task: OwnedTask): void {
    const step = this.stepOf(task);
    step.recordDone();
    if (step.isDone) this.steps.delete(this.keyOf(task));
  }

  private stepOf(task: OwnedTask): StepTail {
    const key = this.keyOf(task);
    const known = this.steps.get(key);
    if (known) return known;
    const tasks = this.tasksOfStep(task);
    const step = new StepTail(
      tasks.length,
      tasks.filter(one => one.isDone).length,
    );
    this.steps.set(key, step);
    return step;
  }

  private keyOf({position}: OwnedTask): number {
    return position.occurrence * this.stepCount + position.stepNumber;
  }
}
