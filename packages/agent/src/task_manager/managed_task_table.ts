import {
  ChicoryspringError,
  Lifecycle,
  type Clock,
  type Resources,
} from '@chicoryspring/contracts';
import {CapacityLedger} from '@chicoryspring/workers';
import type {ManagedTaskEvent} from './managed_task_event_types.js';
import {managedTaskMachine} from './managed_task_machine.js';
import type {ManagedTaskState} from './managed_task_state_types.js';
import type {ManagedTask} from './managed_task_types.js';
import {TaskProbation} from './task_probation.js';

/**
 * Time for which the last epoch of a task is remembered.
 *
 * A start is rejected once its lease has expired, so no start that is older
 * than this can still take effect.
 */
const EPOCH_RETENTION_MILLISECONDS = 30_000;

interface LastEpoch {
  readonly epoch: number;
  /** Local instant in milliseconds. */
  readonly rememberedUntil: number;
}

const lifecycle = new Lifecycle<ManagedTaskState, ManagedTaskEvent>(
  managedTaskMachine,
);

/** The managed tasks, their reserved capacity, and their last task epochs. */
export class ManagedTaskTable {
  private readonly tasks = new Map<string, ManagedTask>();
  private readonly lastEpochs = new Map<string, LastEpoch>();
  private ledger: CapacityLedger;

  constructor(
    private readonly capacity: Resources,
    private readonly clock: Clock,
  ) {
    this.ledger = new CapacityLedger(capacity);
  }

  get free(): Resources {
    return this.ledger.free;
  }

  get all(): readonly ManagedTask[] {
    return [...this.tasks.values()];
  }

  /** Number of remembered last epochs. */
  get lastEpochCount(): number {
    return this.lastEpochs.size;
  }

  get(taskId: string): ManagedTask | undefined {
    return this.tasks.get(taskId);
  }

  /** The task, if it is managed under this task epoch. */
  getAtEpoch(taskId: string, epoch: number): ManagedTask | undefined {
    const managed = this.tasks.get(taskId);
    return managed?.epoch === epoch ? managed : undefined;
  }

  /**
   * Replaces all tasks by running ones, even if they exceed the capacity. Their
   * probations begin, as it isn't known when they started.
   */
  replaceAll(running: readonly ManagedTask[]): void {
    this.tasks.clear();
    this.ledger = new CapacityLedger(this.capacity);
    const now = this.clock.now();
    for (const managed of running) {
      this.ledger.restore(managed.task.id, managed.task.resources);
      this.tasks.set(managed.task.id, TaskProbation.begin(managed, now));
      this.rememberEpoch(managed.task.id, managed.epoch);
    }
  }

  /** Reserves the capacity of a task before it starts, or rejects the task. */
  reserve(managed: ManagedTask): void {
    const {task, epoch} = managed;
    this.rejectStaleEpoch(task.id, epoch);
    this.ledger.reserve(task.id, task.resources);
    this.tasks.set(task.id, managed);
    this.rememberEpoch(task.id, epoch);
  }

  /** Extends the owner's lease; an earlier deadline has no effect. */
  extend(managed: ManagedTask, deadline: number): void {
    const leaseDeadline = Math.max(managed.leaseDeadline, deadline);
    this.tasks.set(managed.task.id, {...managed, leaseDeadline});
  }

  /** Applies an event to a task; its capacity is released once it has ended. */
  advance(taskId: string, epoch: number, event: ManagedTaskEvent): void {
    const managed = this.getAtEpoch(taskId, epoch);
    if (!managed) return;
    const state = lifecycle.tryAdvance(managed.state, event);
    if (state === undefined) return;
    const advanced = {...managed, state};
    const hasBegun = state === 'running';
    this.tasks.set(
      taskId,
      hasBegun ? TaskProbation.begin(advanced, this.clock.now()) : advanced,
    );
    if (state === 'ended') this.ledger.release(taskId);
  }

  /** Records before which incarnation of the worker a start is sent. */
  recordIncarnation(
    taskId: string,
    epoch: number,
    incarnation: string | undefined,
  ): void {
    const managed = this.getAtEpoch(taskId, epoch);
    if (managed) this.tasks.set(taskId, {...managed, incarnation});
  }

  /** Records that a stop was sent which may have taken effect. */
  recordStopSent(taskId: string, epoch: number): void {
    const managed = this.getAtEpoch(taskId, epoch);
    if (managed) this.tasks.set(taskId, {...managed, isStopSent: true});
  }

  /** Records that the worker ran a task at an instant. */
  recordRunning({task, epoch}: ManagedTask, instant: number): void {
    const managed = this.getAtEpoch(task.id, epoch);
    if (!managed || TaskProbation.includes(managed, instant)) return;
    this.tasks.set(task.id, {...managed, hasPassedProbation: true});
  }

  /** Removes a task that certainly does not run, and releases its capacity. */
  forget(taskId: string, epoch: number): void {
    if (!this.getAtEpoch(taskId, epoch)) return;
    this.tasks.delete(taskId);
    this.ledger.release(taskId);
  }

  /** Remembers an epoch, so that starts up to it are rejected from now on. */
  rememberEpoch(taskId: string, epoch: number): void {
    const known = this.lastEpochs.get(taskId)?.epoch ?? 0;
    const rememberedUntil = this.clock.now() + EPOCH_RETENTION_MILLISECONDS;
    this.lastEpochs.set(taskId, {
      epoch: Math.max(known, epoch),
      rememberedUntil,
    });
  }

  /** Drops the epochs for which no delayed start can arrive any more. */
  dropExpiredEpochs(): void {
    const now = this.clock.now();
    for (const [taskId, {rememberedUntil}] of this.lastEpochs) {
      const isManaged = this.tasks.has(taskId);
      if (!isManaged && rememberedUntil <= now) this.lastEpochs.delete(taskId);
    }
  }

  private rejectStaleEpoch(taskId: string, epoch: number): void {
    const last = this.lastEpochs.get(taskId)?.epoch ?? 0;
    if (epoch > last) return;
    const message = `${taskId} has already had epoch ${last}`;
    throw new ChicoryspringError('stale-epoch', message);
  }
}
