import {TaskName} from '@chicoryspring/contracts';
import type {ManagedRun} from './managed_run.js';

interface TaskOfRun {
  readonly task: string;
}

/**
 * Keeps isolated runs apart from other runs that begin.
 *
 * While an isolated run waits to begin or is in its probation, only runs of the
 * same job are admitted. It begins once all runs of other jobs have passed their
 * probation, so that a crash of the worker is the fault of its job.
 */
export class RunIsolation {
  /** Whether no isolated run of another job keeps the run out. */
  static admits(
    run: TaskOfRun,
    managed: readonly ManagedRun[],
    now: number,
  ): boolean {
    return !ofOtherJobs(run, managed).some(one => one.isIsolated(now));
  }

  /** Run for which an admitted one waits before it is sent, if there is one. */
  static runToWaitFor(
    run: ManagedRun,
    managed: readonly ManagedRun[],
    now: number,
  ): ManagedRun | undefined {
    if (run.mayHaveBegun) return undefined;
    const beginning = ofOtherJobs(run, managed).filter(one =>
      one.isInProbation(now),
    );
    if (run.isIsolated(now)) return beginning[0];
    return beginning.find(one => one.isIsolated(now));
  }
}

function ofOtherJobs(
  {task}: TaskOfRun,
  managed: readonly ManagedRun[],
): readonly ManagedRun[] {
  const job = TaskName.parseJobId(task);
  return managed.filter(one => TaskName.parseJobId(one.task) !== job);
}
