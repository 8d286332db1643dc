import type {OwnedRun, OwnedTask} from '@chicoryspring/jobs';

const NO_TASKS: ReadonlySet<OwnedTask> = new Set();

/** Index of the owned tasks by the agent of their run. */
export class RunIndex {
  private readonly byAgent = new Map<string, Set<OwnedTask>>();
  private readonly revisions = new Map<string, number>();

  /** Tasks whose run is on the agent. */
  tasksOn(agent: string): readonly OwnedTask[] {
    return [...(this.byAgent.get(agent) ?? NO_TASKS)];
  }

  /** Increases whenever a run on the agent is set, changed or cleared. */
  revisionOf(agent: string): number {
    return this.revisions.get(agent) ?? 0;
  }

  /** Sets or clears the run of a task. */
  set(task: OwnedTask, run: OwnedRun | undefined): void {
    if (task.run) {
      this.byAgent.get(task.run.agent)?.delete(task);
      this.recordChange(task.run.agent);
    }
    if (!run) {
      task.clearRun();
      return;
    }
    task.setRun(run);
    const tasks = this.byAgent.get(run.agent) ?? new Set();
    tasks.add(task);
    this.byAgent.set(run.agent, tasks);
    this.recordChange(run.agent);
  }

  /** Records that what is known of the task of a run has changed. */
  touch(task: OwnedTask): void {
    if (task.run) this.recordChange(task.run.agent);
  }

  private recordChange(agent: string): void {
    this.revisions.set(agent, this.revisionOf(agent) + 1);
  }
}
