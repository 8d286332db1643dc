import {ChicoryspringError, type Task} from '@chicoryspring/contracts';
import type {ManualClock} from '@chicoryspring/testing';

interface RunningEpoch {
  readonly epoch: number;
  readonly leaseDeadline: number;
  readonly hasEnded: boolean;
}

/** An agent that starts, renews and stops task epochs as the real one. */
export class FakeAgent {
  /** Number of epochs that completed, by task. */
  readonly completed = new Map<string, number>();
  private readonly epochs = new Map<string, RunningEpoch>();
  private readonly lastEpochs = new Map<string, number>();

  constructor(
    readonly worker: string,
    private readonly clock: ManualClock,
  ) {}

  start(task: Task, epoch: number, leaseDeadline: number): void {
    const isPast = leaseDeadline <= this.clock.now();
    if (isPast || epoch <= (this.lastEpochs.get(task.id) ?? 0)) {
      throw new ChicoryspringError('stale-epoch', task.id);
    }
    this.lastEpochs.set(task.id, epoch);
    this.epochs.set(task.id, {epoch, leaseDeadline, hasEnded: false});
  }

  renew(
    tasks: readonly {readonly taskId: string; readonly epoch: number}[],
    leaseDeadline: number,
  ): readonly string[] {
    this.stopExpired();
    const missing = tasks.filter(
      ({taskId, epoch}) => this.epochs.get(taskId)?.epoch !== epoch,
    );
    for (const {taskId, epoch} of tasks) {
      const running = this.epochs.get(taskId);
      if (running?.epoch === epoch) {
        this.epochs.set(taskId, {...running, leaseDeadline});
      }
    }
    return missing.map(({taskId}) => taskId);
  }

  stop(taskId: string, epoch: number): void {
    const current = this.epochs.get(taskId);
    if (current?.hasEnded)
      throw new ChicoryspringError('worker-refused', taskId);
    if (current && current.epoch > epoch) {
      throw new ChicoryspringError('stale-epoch', taskId);
    }
    const last = this.lastEpochs.get(taskId) ?? 0;
    this.lastEpochs.set(taskId, Math.max(last, epoch));
    this.epochs.delete(taskId);
  }

  /** Tasks that run at this instant. */
  get running(): readonly string[] {
    this.stopExpired();
    return [...this.epochs]
      .filter(([, {hasEnded}]) => !hasEnded)
      .map(([taskId]) => taskId);
  }

  /** Completes all running tasks; their endings are still to be reported. */
  completeAll(): void {
    for (const taskId of this.running) {
      const current = this.epochs.get(taskId)!;
      this.epochs.set(taskId, {...current, hasEnded: true});
      this.completed.set(taskId, (this.completed.get(taskId) ?? 0) + 1);
    }
  }

  /** Endings that no owner has acknowledged. */
  get endings(): readonly {readonly taskId: string; readonly epoch: number}[] {
    return [...this.epochs]
      .filter(([, {hasEnded}]) => hasEnded)
      .map(([taskId, {epoch}]) => ({taskId, epoch}));
  }

  acknowledge(taskId: string): void {
    this.epochs.delete(taskId);
  }

  private stopExpired(): void {
    const now = this.clock.now();
    for (const [taskId, {leaseDeadline, hasEnded}] of this.epochs) {
      if (leaseDeadline <= now && !hasEnded) this.epochs.delete(taskId);
    }
  }
}
