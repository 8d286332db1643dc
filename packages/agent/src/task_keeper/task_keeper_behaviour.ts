import {
  ChicoryspringError,
  type ClassLoad,
  type Clock,
  type Resources,
  type Task,
} from '@chicoryspring/contracts';
import type {StartPermissionStore} from '@chicoryspring/failure-domains';
import {CapacityLedgerStore} from '@chicoryspring/workers';
import type {WorkerClient} from '../worker_client/worker_client_types.js';
import type {KeptTask} from './kept_task_types.js';

/** Longest lease that the worker holds without a renewal. */
const WORKER_LEASE_MILLISECONDS = 3_000;
/** Time between two renewals of the worker's leases. */
const RENEWAL_MILLISECONDS = 1_000;

interface TaskReference {
  readonly taskId: string;
  readonly epoch: number;
}

/** Keeps the tasks of one worker; the only committer of its capacity. */
export class TaskKeeper {
  private readonly tasks = new Map<string, KeptTask>();
  private readonly lastEpochs = new Map<string, number>();
  private readonly ledger: CapacityLedgerStore;
  private isRebuilt = false;

  constructor(
    private readonly worker: WorkerClient,
    private readonly permission: StartPermissionStore,
    private readonly clock: Clock,
    capacity: Resources,
  ) {
    this.ledger = new CapacityLedgerStore(capacity);
  }

  get free(): Resources {
    return this.ledger.free;
  }

  /** The kept tasks by class, for load reports. */
  get classes(): readonly ClassLoad[] {
    const loads = new Map<string, ClassLoad>();
    for (const {task} of this.tasks.values()) {
      const {taskClass, resources} = task;
      const known = loads.get(taskClass);
      const declared = known?.declaredProcessors ?? 0;
      loads.set(taskClass, {
        taskClass,
        tasks: (known?.tasks ?? 0) + 1,
        declaredProcessors: declared + resources.processors,
      });
    }
    return [...loads.values()];
  }

  get kept(): readonly KeptTask[] {
    return [...this.tasks.values()];
  }

  /** Rebuilds the ledger from what the worker runs; nothing starts before. */
  async rebuild(): Promise<void> {
    for (const {task, epoch, leaseMilliseconds} of await this.worker.list()) {
      const leaseDeadline = this.clock.now() + leaseMilliseconds;
      this.ledger.reserve(task.id, task.resources);
      this.keep({task, epoch, leaseDeadline});
    }
    this.isRebuilt = true;
  }

  /** Starts one epoch of a task, or refuses it before anything runs. */
  async start(
    task: Task,
    epoch: number,
    checkpoint: string | undefined,
    leaseDeadline: number,
  ): Promise<void> {
    this.checkMayStart(task.id, epoch);
    this.ledger.reserve(task.id, task.resources);
    this.keep({task, epoch, leaseDeadline});
    const lease = this.workerLease(leaseDeadline);
    try {
      await this.worker.start(task, epoch, checkpoint, lease);
    } catch (thrown) {
      await this.undoStart(task.id, epoch);
      throw thrown;
    }
  }

  /** Extends the owner's leases; returns the tasks that do not run here. */
  renew(
    tasks: readonly TaskReference[],
    leaseDeadline: number,
  ): readonly string[] {
    const missing: string[] = [];
    for (const {taskId, epoch} of tasks) {
      const kept = this.tasks.get(taskId);
      if (kept?.epoch === epoch)
        this.tasks.set(taskId, {...kept, leaseDeadline});
      else missing.push(taskId);
    }
    return missing;
  }

  /** Stops a task up to an epoch; resolves once it certainly does not run. */
  async stop(
    taskId: string,
    epoch: number,
    checkpoint: boolean,
  ): Promise<string | undefined> {
    const kept = this.tasks.get(taskId);
    if (kept && kept.epoch > epoch) {
      throw new ChicoryspringError(
        'stale-epoch',
        `${taskId} runs a later epoch`,
      );
    }
    this.lastEpochs.set(taskId, epoch);
    const saved = await this.worker.stop(taskId, checkpoint);
    this.forget(taskId);
    return saved;
  }

  /** Frees the capacity of a task that has ended on the worker. */
  forget(taskId: string): void {
    this.tasks.delete(taskId);
    this.ledger.release(taskId);
  }

  /** The task that renews the worker's leases until the signal aborts. */
  async run(
    signal: AbortSignal,
    onLapsed: (kept: KeptTask, checkpoint: string | undefined) => void,
  ): Promise<void> {
    while (!signal.aborted) {
      const next = this.clock.now() + RENEWAL_MILLISECONDS;
      await this.stopLapsed(onLapsed).catch(() => undefined);
      await this.renewAtWorker().catch(() => undefined);
      await this.clock.sleepUntil(next, signal);
    }
  }

  private checkMayStart(taskId: string, epoch: number): void {
    if (!this.isRebuilt) {
      const message = 'the ledger is not rebuilt yet';
      throw new ChicoryspringError('worker-unreachable', message);
    }
    const refusal = this.permission.refusal(this.clock.now());
    if (refusal) throw new ChicoryspringError(refusal, 'no start permission');
    if (epoch <= (this.lastEpochs.get(taskId) ?? 0)) {
      throw new ChicoryspringError('stale-epoch', `${taskId} epoch ${epoch}`);
    }
  }

  private keep(kept: KeptTask): void {
    this.tasks.set(kept.task.id, kept);
    this.lastEpochs.set(kept.task.id, kept.epoch);
  }

  /** After a start with an unknown result, makes sure that nothing runs. */
  private async undoStart(taskId: string, epoch: number): Promise<void> {
    try {
      await this.stop(taskId, epoch, false);
    } catch {
      // The lease at the worker lapses; until then the capacity stays taken.
    }
  }

  private async stopLapsed(
    onLapsed: (kept: KeptTask, checkpoint: string | undefined) => void,
  ): Promise<void> {
    const now = this.clock.now();
    for (const kept of this.kept) {
      if (kept.leaseDeadline > now) continue;
      const saved = await this.stop(kept.task.id, kept.epoch, true);
      onLapsed(kept, saved);
    }
  }

  private async renewAtWorker(): Promise<void> {
    const tasks = this.kept.map(kept => ({
      taskId: kept.task.id,
      leaseMilliseconds: this.workerLease(kept.leaseDeadline),
    }));
    if (tasks.length > 0) await this.worker.renew(tasks);
  }

  private workerLease(ownerDeadline: number): number {
    const remaining = Math.max(0, ownerDeadline - this.clock.now());
    return Math.min(WORKER_LEASE_MILLISECONDS, remaining);
  }
}
