import type {OwnedJob} from '../job/owned_job.js';
import type {OwnedTask} from '../job/owned_task.js';

const FULL_PERCENT = 100;
/** Processors that a task which reserves fewer is counted with. */
const MIN_PROCESSORS = 1;
/** Estimate that a task with a lower one, or without one, is counted with. */
const MIN_ESTIMATE_MILLISECONDS = 100;

/** Estimated work, in milliseconds of one processor. */
export class JobWork {
  /** Work of a whole task; none if it lasts, since it is never finished. */
  static of({step}: OwnedTask): number {
    if (step.isLasting) return 0;
    const {estimateMilliseconds, resources} = step;
    return (
      Math.max(MIN_ESTIMATE_MILLISECONDS, estimateMilliseconds) *
      Math.max(MIN_PROCESSORS, resources.processors)
    );
  }

  /** What the open tasks of a job still have to do. */
  static leftOf({tasks}: OwnedJob): number {
    let left = 0;
    for (const task of tasks) {
      if (task.isDone) continue;
      const percent = task.run?.percent ?? 0;
      left += JobWork.of(task) * (1 - percent / FULL_PERCENT);
    }
    return left;
  }

  /** Whether a step of which some tasks have begun or ended waits for others. */
  static isEndingStep({tasks}: OwnedJob): boolean {
    let first: OwnedTask | undefined;
    let hasBegun = false;
    let isWaiting = false;
    for (const task of tasks) {
      if (!first || !isSameStep(first, task)) {
        first = task;
        hasBegun = false;
        isWaiting = false;
      }
      if (task.isDone || task.run) hasBegun = true;
      else isWaiting = true;
      if (hasBegun && isWaiting) return true;
    }
    return false;
  }
}

function isSameStep(one: OwnedTask, other: OwnedTask): boolean {
  const {occurrence, stepNumber} = one.position;
  const {position} = other;
  return (
    position.occurrence === occurrence && position.stepNumber === stepNumber
  );
}
