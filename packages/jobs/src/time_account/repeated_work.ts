import type {OwnedTask} from '../job/owned_task.js';
import type {OwnedRun} from '../run/owned_run_types.js';

/**
 * How far the earlier runs of tasks had come, so that the work that a later run
 * redoes is known.
 *
 * A run that resumes from a checkpoint reports the progress of that, so what
 * came before the checkpoint is not taken for repeated.
 */
export class RepeatedWork {
  /** Highest progress of the ended runs of a task, in percent. */
  private readonly reached = new Map<OwnedTask, number>();

  /** Records how far a run had come; one that reported no progress redoes none. */
  recordEnd(task: OwnedTask, {percent}: OwnedRun): void {
    // A long-running task reports 100 while it works, which is no progress.
    if (percent <= 0 || task.step.isLasting) return;
    this.reached.set(task, Math.max(percent, this.reached.get(task) ?? 0));
  }

  /** Whether a run redoes what an earlier run of the task had done. */
  isRepeating(task: OwnedTask, {phase, percent}: OwnedRun): boolean {
    const isBehind = percent < (this.reached.get(task) ?? 0);
    return phase === 'running' && isBehind;
  }

  /** Forgets a task that is done. */
  forget(task: OwnedTask): void {
    this.reached.delete(task);
  }
}
