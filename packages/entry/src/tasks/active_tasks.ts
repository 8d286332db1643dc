import type {TaskRecord} from '@chicoryspring/contracts';

/**
 * Index of the owned tasks that are not terminal.
 *
 * The cost of a pass over it follows their number, not that of all records.
 */
export class ActiveTasks {
  private readonly notRunningByKey = new Map<string, TaskRecord>();
  private readonly runningByKey = new Map<string, TaskRecord>();

  /** Waiting, starting, stopping and cancelling tasks; each needs a step. */
  get notRunning(): readonly TaskRecord[] {
    return [...this.notRunningByKey.values()];
  }

  get running(): readonly TaskRecord[] {
    return [...this.runningByKey.values()];
  }

  has(taskId: string): boolean {
    return this.notRunningByKey.has(taskId) || this.runningByKey.has(taskId);
  }

  /** Replaces the record of a task that is not terminal. */
  put(record: TaskRecord): void {
    this.remove(record.key);
    const isRunning = record.state === 'running';
    const group = isRunning ? this.runningByKey : this.notRunningByKey;
    group.set(record.key, record);
  }

  remove(taskId: string): void {
    this.notRunningByKey.delete(taskId);
    this.runningByKey.delete(taskId);
  }
}
