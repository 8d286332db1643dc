import {
  ChicoryspringError,
  taskLifecycle,
  type Clock,
  type Task,
  type TaskEvent,
  type TaskRecord,
} from '@chicoryspring/contracts';
import type {ShardRecord, ShardTable} from '@chicoryspring/shards';

const COMMIT_MILLISECONDS = 10_000;
/** Time for which a settled task can still be asked for. */
const RETENTION_MILLISECONDS = 24 * 60 * 60 * 1_000;

const SETTLED = new Set(['finished', 'failed', 'cancelled']);

/** The durable records of the owned tasks. */
export class TaskRecords {
  private readonly waiters = new Set<() => void>();

  constructor(
    private readonly table: () => ShardTable,
    private readonly clock: Clock,
  ) {}

  /** Whether nothing happens to the task any more. */
  static isSettled(record: TaskRecord): boolean {
    return SETTLED.has(record.state);
  }

  get all(): readonly TaskRecord[] {
    return this.table()
      .all()
      .filter((record): record is TaskRecord => record.kind === 'task');
  }

  get(taskId: string): TaskRecord {
    this.requireOwned(taskId);
    return requireTask(this.table().get(taskId));
  }

  /** Makes a task durable; a repeat finds the task that it named before. */
  async submit(task: Task, deadline: number): Promise<TaskRecord> {
    const fresh: TaskRecord = {
      kind: 'task',
      key: task.id,
      task,
      state: 'waiting',
      epoch: 0,
      failedWorkers: [],
      evictions: 0,
    };
    const record = await this.table().update(
      task.id,
      current => current ?? fresh,
      deadline,
    );
    return requireTask(record);
  }

  /** The record once the task has ended, or at the deadline as it is then. */
  async wait(taskId: string, deadline: number): Promise<TaskRecord> {
    const answered = new AbortController();
    while (!TaskRecords.isSettled(this.get(taskId))) {
      if (this.clock.now() >= deadline) break;
      const changed = new Promise<void>(resolve => {
        this.waiters.add(resolve);
      });
      await Promise.race([
        changed,
        this.clock.sleepUntil(deadline, answered.signal),
      ]);
    }
    answered.abort();
    return this.get(taskId);
  }

  /** Moves a record on; an event of another epoch changes nothing. */
  async advance(
    taskId: string,
    epoch: number | undefined,
    event: TaskEvent,
    change: Partial<TaskRecord>,
  ): Promise<TaskRecord | undefined> {
    const deadline = this.clock.now() + COMMIT_MILLISECONDS;
    const record = await this.table().update(
      taskId,
      current => {
        if (current?.kind !== 'task') return current;
        if (epoch !== undefined && current.epoch !== epoch) return current;
        const state = taskLifecycle.tryAdvance(current.state, event);
        if (state === undefined) return current;
        const next = {...current, ...change, state};
        return TaskRecords.isSettled(next) ? this.retain(next) : next;
      },
      deadline,
    );
    this.wakeWaiters();
    return record?.kind === 'task' ? record : undefined;
  }

  /** A record of a shard that has moved is asked for at its new owner. */
  private requireOwned(taskId: string): void {
    if (this.table().owns(taskId)) return;
    const message = 'the shard has another owner';
    throw new ChicoryspringError('shard-unowned', message);
  }

  private retain(record: TaskRecord): TaskRecord {
    const retentionDeadline = this.clock.now() + RETENTION_MILLISECONDS;
    return {...record, retentionDeadline};
  }

  private wakeWaiters(): void {
    for (const wake of this.waiters) wake();
    this.waiters.clear();
  }
}

function requireTask(record: ShardRecord | undefined): TaskRecord {
  if (record?.kind === 'task') return record;
  throw new ChicoryspringError('unknown-object', 'there is no such task');
}
