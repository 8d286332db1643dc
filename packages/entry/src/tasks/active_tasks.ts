import type {TaskRecord} from '@chicoryspring/contracts';

/**
 * The owned tasks that have not settled, so that the cost of looking at them
 * follows their number and not that of all records.
 */
export class ActiveTasks {
  private readonly pendingByKey = new Map<string, TaskRecord>();
  private readonly runningByKey = new Map<string, TaskRecord>();

  /** Tasks that wait, start or stop: their owner has a step to take. */
  get pending(): readonly TaskRecord[] {
    return [...this.pendingByKey.values()];
  }

  get running(): readonly TaskRecord[] {
    return [...this.runningByKey.values()];
  }

  has(taskId: string): boolean {
    return this.pendingByKey.has(taskId) || this.runningByKey.has(taskId);
  }

  /** Takes in the newest record of a task that has not settled. */
  put(record: TaskRecord): void {
    this.remove(record.key);
    const isRunning = record.state === 'running';
    const group = isRunning ? this.runningByKey : this.pendingByKey;
    group.set(record.key, record);
  }

  remove(taskId: string): void {
    this.pendingByKey.delete(taskId);
    this.runningByKey.delete(taskId);
  }
}
