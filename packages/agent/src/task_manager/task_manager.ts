import {
  ChicoryspringError,
  toChicoryspringError,
  type ClassLoad,
  type Clock,
  type IsolationLength,
  type Resources,
  type Task,
} from '@chicoryspring/contracts';
import type {StartPermission} from '@chicoryspring/failure-domains';
import type {WorkerClient} from '../worker_client/worker_client_types.js';
import type {WorkerEnding} from '../worker_client/worker_ending_types.js';
import {classLoadsOf} from './class_loads.js';
import type {ManagedTask} from './managed_task_types.js';
import {ManagedTaskTable} from './managed_task_table.js';
import {KeyedMutex} from './keyed_mutex.js';
import {TaskIsolation} from './task_isolation.js';
import {TaskStopper} from './task_stopper.js';
import {WorkerTaskLister} from './worker_task_lister.js';

/** Maximum lease of a task at the worker. */
const MAX_WORKER_LEASE_MILLISECONDS = 3_000;

interface TaskReference {
  readonly taskId: string;
  readonly epoch: number;
}

/**
 * Starts and stops the tasks of one worker; only it commits the capacity.
 *
 * A task runs under two leases: the owner renews its lease at the agent, and
 * the agent renews the lease at the worker, at most until the owner's expires.
 */
export class TaskManager {
  private readonly tasks: ManagedTaskTable;
  private readonly mutex = new KeyedMutex();
  private readonly lister: WorkerTaskLister;
  private readonly stopper: TaskStopper;
  private readonly isolation: TaskIsolation;
  /** Endings of starts that crashed, which are not reported yet. */
  private lostStarts: readonly WorkerEnding[] = [];
  private isRebuilt = false;

  constructor(
    private readonly worker: WorkerClient,
    private readonly permission: StartPermission,
    private readonly clock: Clock,
    capacity: Resources,
  ) {
    this.tasks = new ManagedTaskTable(capacity, clock);
    this.lister = new WorkerTaskLister(worker);
    this.stopper = new TaskStopper(worker, this.tasks, this.lister);
    this.isolation = new TaskIsolation(this.tasks, clock);
  }

  get free(): Resources {
    return this.tasks.free;
  }

  /** The managed tasks by class, for load reports. */
  get classes(): readonly ClassLoad[] {
    return classLoadsOf(this.active);
  }

  /** Tasks that run or may run; not those that have ended. */
  get active(): readonly ManagedTask[] {
    return this.tasks.all.filter(managed => managed.state !== 'ended');
  }

  /** Number of remembered last epochs. */
  get lastEpochCount(): number {
    return this.tasks.lastEpochCount;
  }

  /** Rebuilds the ledger from the running tasks; until then nothing starts. */
  async rebuild(): Promise<void> {
    const listed = await this.lister.list();
    const now = this.clock.now();
    const running = listed.map(({task, epoch, leaseMilliseconds}) => ({
      task,
      epoch,
      state: 'running' as const,
      leaseDeadline: now + leaseMilliseconds,
      hasPassedProbation: false,
    }));
    this.tasks.replaceAll(running);
    this.isRebuilt = true;
  }

  /**
   * Starts a task under an epoch, or rejects it before anything runs.
   *
   * @param isolation from other tasks that begin; undefined without one
   */
  async start(
    task: Task,
    epoch: number,
    checkpoint: string | undefined,
    leaseDeadline: number,
    isolation?: IsolationLength,
  ): Promise<void> {
    const managed = {
      task,
      epoch,
      state: 'starting' as const,
      leaseDeadline,
      isolation,
      hasPassedProbation: false,
    };
    await this.mutex.runExclusive(task.id, async () => {
      this.requireStartAllowed(leaseDeadline);
      this.isolation.requireAdmits();
      this.tasks.reserve(managed);
      if (isolation) await this.isolate(managed);
      await this.startAtWorker(managed, checkpoint);
    });
  }

  /** Extends the owner's leases; returns tasks that are not managed here. */
  renewOwnerLeases(
    tasks: readonly TaskReference[],
    leaseDeadline: number,
  ): readonly string[] {
    this.requireRebuilt();
    const missing: string[] = [];
    for (const {taskId, epoch} of tasks) {
      const managed = this.tasks.getAtEpoch(taskId, epoch);
      if (managed) this.tasks.extend(managed, leaseDeadline);
      else missing.push(taskId);
    }
    return missing;
  }

  /** Stops epochs up to this one; resolves once none of them can run. */
  async stop(
    taskId: string,
    epoch: number,
    checkpoint: boolean,
  ): Promise<string | undefined> {
    this.requireRebuilt();
    return await this.mutex.runExclusive(taskId, async () => {
      const managed = this.tasks.get(taskId);
      if (managed) TaskStopper.requireStoppable(managed, epoch);
      this.tasks.rememberEpoch(taskId, epoch);
      const stoppedEpoch = managed?.epoch ?? epoch;
      const saved = await this.stopper.stop(taskId, stoppedEpoch, checkpoint);
      this.tasks.forget(taskId, stoppedEpoch);
      return saved;
    });
  }

  /** Ends a task on the agent's own decision, with a checkpoint. */
  async end(
    managed: ManagedTask,
    result: 'lapsed' | 'evicted',
  ): Promise<WorkerEnding | undefined> {
    const {task, epoch} = managed;
    return await this.mutex.runExclusive(task.id, async () => {
      const current = this.tasks.getAtEpoch(task.id, epoch);
      if (!current || current.state === 'ended') return undefined;
      const checkpoint = await this.stopper.stop(task.id, epoch, true);
      this.tasks.advance(task.id, epoch, 'end');
      return {taskId: task.id, epoch, result, checkpoint};
    });
  }

  /** Records an ending; the task stays until the ending is acknowledged. */
  recordEnding({taskId, epoch}: TaskReference): void {
    this.tasks.advance(taskId, epoch, 'end');
  }

  /** Removes a task whose ending the owner has acknowledged. */
  forget({taskId, epoch}: TaskReference): void {
    this.tasks.forget(taskId, epoch);
  }

  /**
   * Renews the worker leases, at most until the owner leases expire.
   *
   * Returns the tasks that the worker says it doesn't run.
   */
  async renewWorkerLeases(): Promise<readonly ManagedTask[]> {
    this.tasks.dropExpiredEpochs();
    const now = this.clock.now();
    const renewed = this.tasks.all.filter(
      managed => managed.state === 'running' && managed.leaseDeadline > now,
    );
    if (renewed.length === 0) return [];
    const tasks = renewed.map(({task, leaseDeadline}) => ({
      taskId: task.id,
      leaseMilliseconds: this.workerLease(leaseDeadline),
    }));
    const missing = new Set(await this.worker.renew(tasks));
    for (const managed of renewed) {
      if (!missing.has(managed.task.id)) this.tasks.recordRunning(managed, now);
    }
    return renewed.filter(managed => missing.has(managed.task.id));
  }

  /** Returns the ending of a missing task, unless it ended or is stopped. */
  async recordMissing(managed: ManagedTask): Promise<WorkerEnding | undefined> {
    return await this.mutex.runExclusive(managed.task.id, () =>
      this.stopper.recordMissing(managed),
    );
  }

  /** Takes the endings of starts with which the worker was lost. */
  takeLostStarts(): readonly WorkerEnding[] {
    const taken = this.lostStarts;
    this.lostStarts = [];
    return taken;
  }

  /** Stops the tasks whose start has an unknown outcome. */
  async stopUncertain(): Promise<void> {
    const uncertain = this.tasks.all.filter(one => one.state === 'uncertain');
    const resolved = uncertain.map(({task, epoch}) =>
      this.mutex.runExclusive(task.id, () =>
        this.stopIfUncertain(task.id, epoch),
      ),
    );
    await Promise.allSettled(resolved);
  }

  private requireStartAllowed(leaseDeadline: number): void {
    this.requireRebuilt();
    const now = this.clock.now();
    const refusal = this.permission.refusal(now);
    if (refusal)
      throw new ChicoryspringError(refusal, 'no valid start permission');
    if (leaseDeadline > now) return;
    throw new ChicoryspringError(
      'lease-lapsed',
      'the start arrived after its lease expired',
    );
  }

  private requireRebuilt(): void {
    if (this.isRebuilt) return;
    const message = 'the capacity ledger is not rebuilt yet';
    throw new ChicoryspringError('worker-unreachable', message);
  }

  /** Lets the others pass their probation; the task is not started after an error. */
  private async isolate({
    task,
    epoch,
    leaseDeadline,
  }: ManagedTask): Promise<void> {
    try {
      await this.isolation.waitForOthers(task.id);
      await this.lister.list();
      this.requireStartAllowed(leaseDeadline);
    } catch (thrown) {
      this.tasks.forget(task.id, epoch);
      const error = toChicoryspringError(thrown);
      if (error.answer.outcome === 'not-run') throw error;
      throw new ChicoryspringError('worker-unreachable', error.message);
    }
  }

  private async startAtWorker(
    {task, epoch, leaseDeadline}: ManagedTask,
    checkpoint: string | undefined,
  ): Promise<void> {
    const lease = this.workerLease(leaseDeadline);
    this.tasks.recordIncarnation(task.id, epoch, this.lister.incarnation);
    try {
      await this.worker.start(task, epoch, checkpoint, lease);
      this.tasks.advance(task.id, epoch, 'started');
    } catch (thrown) {
      const {outcome} = toChicoryspringError(thrown).answer;
      if (outcome === 'not-run') this.tasks.forget(task.id, epoch);
      else await this.recordLostReply(task.id, epoch);
      throw thrown;
    }
  }

  /** Keeps the capacity reserved until the worker confirms the stop. */
  private async recordLostReply(taskId: string, epoch: number): Promise<void> {
    this.tasks.advance(taskId, epoch, 'reply-lost');
    // If this fails, `stopUncertain` retries it.
    await this.stopIfUncertain(taskId, epoch).catch(() => undefined);
  }

  private async stopIfUncertain(taskId: string, epoch: number): Promise<void> {
    const ending = await this.stopper.stopUncertain(taskId, epoch);
    if (ending) this.lostStarts = [...this.lostStarts, ending];
  }

  private workerLease(ownerDeadline: number): number {
    const remaining = Math.max(0, ownerDeadline - this.clock.now());
    return Math.min(MAX_WORKER_LEASE_MILLISECONDS, remaining);
  }
}
