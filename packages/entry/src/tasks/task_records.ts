import {
  ChicoryspringError,
  taskLifecycle,
  type Clock,
  type Task,
  type TaskEvent,
  type TaskRecord,
} from '@chicoryspring/contracts';
import type {ShardRecord, ShardTable} from '@chicoryspring/shards';
import {ActiveTasks} from './active_tasks.js';
import {requireSameTask} from './task_repeat_check.js';
import {TaskWaiters} from './task_waiters.js';
import type {TaskTransition} from '../observation/task_transition_types.js';

const COMMIT_TIMEOUT_MILLISECONDS = 10_000;
/** Time for which the record of a terminal task is kept. */
const RETENTION_MILLISECONDS = 24 * 60 * 60 * 1_000;

const TERMINAL_STATES = new Set(['finished', 'failed', 'cancelled']);

/** The durable records of the owned tasks. */
export class TaskRecords {
  readonly active = new ActiveTasks();
  private readonly waiters = new TaskWaiters();

  constructor(
    private readonly table: () => ShardTable,
    private readonly clock: Clock,
    private readonly onTransition: (transition: TaskTransition) => void = () =>
      undefined,
  ) {}

  /** Whether the state of the task no longer changes. */
  static isTerminal(record: TaskRecord): boolean {
    return TERMINAL_STATES.has(record.state);
  }

  get all(): readonly TaskRecord[] {
    return this.table()
      .all()
      .filter((record): record is TaskRecord => record.kind === 'task');
  }

  /** Indexes the tasks of a shard that this entry has acquired. */
  shardGained(records: readonly ShardRecord[]): void {
    for (const {key} of records) this.updateActive(key);
  }

  /** Removes the tasks of a shard that this entry has lost. */
  shardLost(records: readonly ShardRecord[]): void {
    for (const {key} of records) this.updateActive(key);
  }

  /** Whether there is a record of the task, terminal or not. */
  has(taskId: string): boolean {
    return this.table().get(taskId) !== undefined;
  }

  get(taskId: string): TaskRecord {
    if (!this.table().owns(taskId)) {
      const message = 'the shard of the task has another owner';
      throw new ChicoryspringError('shard-unowned', message);
    }
    return requireTask(this.table().get(taskId));
  }

  /**
   * Makes a task durable; a repeated submission returns the existing record.
   *
   * Throws `idempotency-key-reused` if that record is of another task.
   */
  async submit(task: Task, deadline: number): Promise<TaskRecord> {
    const initial: TaskRecord = {
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
      current => current ?? initial,
      deadline,
    );
    this.updateActive(task.id);
    const submitted = requireTask(record);
    requireSameTask(submitted.task, task);
    return submitted;
  }

  /** Waits until the task is terminal or the deadline; returns its record. */
  async wait(taskId: string, deadline: number): Promise<TaskRecord> {
    while (!TaskRecords.isTerminal(this.get(taskId))) {
      if (this.clock.now() >= deadline) break;
      await this.waitForChange(taskId, deadline);
    }
    return this.get(taskId);
  }

  /**
   * Applies an event to a task record, durably.
   *
   * An event of another epoch, or one that the state does not allow, changes
   * nothing. Returns the record as it is then; undefined if there is none.
   */
  async advance(
    taskId: string,
    epoch: number | undefined,
    event: TaskEvent,
    change: Partial<TaskRecord>,
  ): Promise<TaskRecord | undefined> {
    const deadline = this.clock.now() + COMMIT_TIMEOUT_MILLISECONDS;
    let before: TaskRecord | undefined;
    const record = await this.table().update(
      taskId,
      current => {
        before = undefined;
        if (current?.kind !== 'task') return current;
        if (epoch !== undefined && current.epoch !== epoch) return current;
        const state = taskLifecycle.tryAdvance(current.state, event);
        if (state === undefined) return current;
        before = current;
        const next = {...current, ...change, state};
        return TaskRecords.isTerminal(next) ? this.withRetention(next) : next;
      },
      deadline,
    );
    this.updateActive(taskId);
    if (record?.kind !== 'task') return undefined;
    if (before) this.onTransition({event, before, after: record});
    return record;
  }

  private withRetention(record: TaskRecord): TaskRecord {
    const retentionDeadline = this.clock.now() + RETENTION_MILLISECONDS;
    return {...record, retentionDeadline};
  }

  private async waitForChange(taskId: string, deadline: number): Promise<void> {
    const changed = new AbortController();
    const stop = this.waiters.add(taskId, () => changed.abort());
    await this.clock.sleepUntil(deadline, changed.signal);
    stop();
  }

  /** Updates the index of active tasks and wakes the waiters of the task. */
  private updateActive(taskId: string): void {
    const record = this.table().get(taskId);
    const isActive = record?.kind === 'task' && !TaskRecords.isTerminal(record);
    if (isActive) this.active.put(record);
    else this.active.remove(taskId);
    this.waiters.wake(taskId);
  }
}

function requireTask(record: ShardRecord | undefined): TaskRecord {
  if (record?.kind === 'task') return record;
  throw new ChicoryspringError('unknown-object', 'there is no such task');
}
