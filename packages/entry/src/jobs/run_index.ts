import type {OwnedRun, OwnedTask} from '@chicoryspring/jobs';

/** Index of the owned tasks by the agent of their run. */
export class RunIndex {
  private readonly byAgent = new Map<string, Set<OwnedTask>>();

  /** Tasks whose run is on the agent. */
  tasksOn(agent: string): readonly OwnedTask[] {
    return [...(this.byAgent.get(agent) ?? [])];
  }

  /** Sets or clears the run of a task. */
  set(task: OwnedTask, run: OwnedRun | undefined): void {
    if (task.run) this.byAgent.get(task.run.agent)?.delete(task);
    if (!run) {
      task.run = undefined;
      return;
    }
    task.setRun(run);
    const tasks = this.byAgent.get(run.agent) ?? new Set();
    tasks.add(task);
    this.byAgent.set(run.agent, tasks);
  }
}
