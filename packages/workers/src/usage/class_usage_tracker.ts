import type {ClassLoad, Task} from '@chicoryspring/contracts';
import type {ClassCount} from '../worker/class_count_types.js';
import type {ClassUsage} from './class_usage_types.js';

/** Weight of a new report in the exponential moving average. */
const REPORT_WEIGHT = 0.05;
/** Assumed for a class without reports: one processor per task, as declared. */
const DEFAULT_USAGE: ClassUsage = {processorsPerTask: 1, usageRatio: 1};

/** Estimates per task class what tasks use, as opposed to what they declare. */
export class ClassUsageTracker {
  private readonly usages = new Map<string, ClassUsage>();

  /** Records what a worker measured. */
  recordLoad(classes: readonly ClassLoad[]): void {
    for (const one of classes) this.recordClass(one);
  }

  /** Number of processors that the task is expected to use. */
  expectedProcessors(task: Task): number {
    const {usageRatio} = this.usages.get(task.taskClass) ?? DEFAULT_USAGE;
    return task.resources.processors * usageRatio;
  }

  /** Estimated number of processors that the running tasks use in total. */
  usedProcessors(running: readonly ClassCount[]): number {
    let sum = 0;
    for (const {taskClass, tasks} of running) {
      const usage = this.usages.get(taskClass) ?? DEFAULT_USAGE;
      sum += tasks * usage.processorsPerTask;
    }
    return sum;
  }

  private recordClass(load: ClassLoad): void {
    const {taskClass, tasks, usedProcessors, declaredProcessors} = load;
    if (usedProcessors === undefined) return;
    if (tasks <= 0 || declaredProcessors <= 0) return;
    const sample = {
      processorsPerTask: usedProcessors / tasks,
      usageRatio: usedProcessors / declaredProcessors,
    };
    const previous = this.usages.get(taskClass) ?? sample;
    this.usages.set(taskClass, {
      processorsPerTask: smoothed(
        previous.processorsPerTask,
        sample.processorsPerTask,
      ),
      usageRatio: smoothed(previous.usageRatio, sample.usageRatio),
    });
  }
}

function smoothed(previous: number, sample: number): number {
  return previous + (sample - previous) * REPORT_WEIGHT;
}
