import {
  ChicoryspringError,
  Lifecycle,
  type Clock,
  type Resources,
} from '@chicoryspring/contracts';
import {CapacityLedger} from '@chicoryspring/workers';
import type {KeptTaskEvent} from './kept_task_event_types.js';
import {keptTaskMachine} from './kept_task_machine.js';
import type {KeptTaskState} from './kept_task_state_types.js';
import type {KeptTask} from './kept_task_types.js';

/**
 * Time for which the last epoch of a task is remembered.
 *
 * A start is refused once its lease has passed, so none is older than this.
 */
const FENCE_MILLISECONDS = 30_000;

interface Fence {
  readonly epoch: number;
  readonly deadline: number;
}

const lifecycle = new Lifecycle<KeptTaskState, KeptTaskEvent>(keptTaskMachine);

/** The kept tasks, the capacity that they take, and their last epochs. */
export class KeptTaskTable {
  private readonly tasks = new Map<string, KeptTask>();
  private readonly fences = new Map<string, Fence>();
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

  get all(): readonly KeptTask[] {
    return [...this.tasks.values()];
  }

  /** How many last epochs are remembered. */
  get fenceCount(): number {
    return this.fences.size;
  }

  get(taskId: string): KeptTask | undefined {
    return this.tasks.get(taskId);
  }

  /** The task, if it is kept at this epoch. */
  at(taskId: string, epoch: number): KeptTask | undefined {
    const kept = this.tasks.get(taskId);
    return kept?.epoch === epoch ? kept : undefined;
  }

  /** Replaces everything by tasks that run already, whatever they take. */
  replaceAll(running: readonly KeptTask[]): void {
    this.tasks.clear();
    this.ledger = new CapacityLedger(this.capacity);
    for (const kept of running) {
      this.ledger.restore(kept.task.id, kept.task.resources);
      this.tasks.set(kept.task.id, kept);
      this.fence(kept.task.id, kept.epoch);
    }
  }

  /** Takes the capacity of a task that is about to start, or refuses it. */
  reserve(kept: KeptTask): void {
    const {task, epoch} = kept;
    this.refuseStale(task.id, epoch);
    this.ledger.reserve(task.id, task.resources);
    this.tasks.set(task.id, kept);
    this.fence(task.id, epoch);
  }

  /** Extends the owner's lease; a deadline never moves back. */
  extend(kept: KeptTask, deadline: number): void {
    const leaseDeadline = Math.max(kept.leaseDeadline, deadline);
    this.tasks.set(kept.task.id, {...kept, leaseDeadline});
  }

  /** Moves a task on; its capacity is free once it has ended. */
  advance(taskId: string, epoch: number, event: KeptTaskEvent): void {
    const kept = this.at(taskId, epoch);
    if (!kept) return;
    const state = lifecycle.tryAdvance(kept.state, event);
    if (state === undefined) return;
    this.tasks.set(taskId, {...kept, state});
    if (state === 'ended') this.ledger.release(taskId);
  }

  /** Frees the capacity of a task that certainly does not run. */
  forget(taskId: string, epoch: number): void {
    if (!this.at(taskId, epoch)) return;
    this.tasks.delete(taskId);
    this.ledger.release(taskId);
  }

  /** Lets no start of this epoch, or an earlier one, happen any more. */
  fence(taskId: string, epoch: number): void {
    const known = this.fences.get(taskId)?.epoch ?? 0;
    const deadline = this.clock.now() + FENCE_MILLISECONDS;
    this.fences.set(taskId, {epoch: Math.max(known, epoch), deadline});
  }

  /** Drops the epochs that no message can name any more. */
  dropOldFences(): void {
    const now = this.clock.now();
    for (const [taskId, {deadline}] of this.fences) {
      const isKept = this.tasks.has(taskId);
      if (!isKept && deadline <= now) this.fences.delete(taskId);
    }
  }

  private refuseStale(taskId: string, epoch: number): void {
    const last = this.fences.get(taskId)?.epoch ?? 0;
    if (epoch > last) return;
    const message = `${taskId} had epoch ${last} already`;
    throw new ChicoryspringError('stale-epoch', message);
  }
}
