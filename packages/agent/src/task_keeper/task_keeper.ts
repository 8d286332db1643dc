import {
  ChicoryspringError,
  toChicoryspringError,
  type ClassLoad,
  type Clock,
  type Resources,
  type Task,
} from '@chicoryspring/contracts';
import type {StartPermission} from '@chicoryspring/failure-domains';
import type {WorkerClient} from '../worker_client/worker_client_types.js';
import type {WorkerEnding} from '../worker_client/worker_ending_types.js';
import type {KeptTask} from './kept_task_types.js';
import {KeptTaskTable} from './kept_task_table.js';
import {TaskTurns} from './task_turns.js';

/** Longest lease that the worker holds without a renewal. */
const WORKER_LEASE_MILLISECONDS = 3_000;

interface TaskReference {
  readonly taskId: string;
  readonly epoch: number;
}

/** Keeps the tasks of one worker; the only committer of its capacity. */
export class TaskKeeper {
  private readonly tasks: KeptTaskTable;
  private readonly turns = new TaskTurns();
  private isRebuilt = false;

  constructor(
    private readonly worker: WorkerClient,
    private readonly permission: StartPermission,
    private readonly clock: Clock,
    capacity: Resources,
  ) {
    this.tasks = new KeptTaskTable(capacity, clock);
  }

  get free(): Resources {
    return this.tasks.free;
  }

  /** The kept tasks by class, for load reports. */
  get classes(): readonly ClassLoad[] {
    const loads = new Map<string, ClassLoad>();
    for (const {task} of this.kept) {
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

  /** Tasks that run or may run. */
  get kept(): readonly KeptTask[] {
    return this.tasks.all.filter(kept => kept.state !== 'ended');
  }

  /** How many last epochs are remembered. */
  get fenceCount(): number {
    return this.tasks.fenceCount;
  }

  /** Rebuilds the ledger from what the worker runs; nothing starts before. */
  async rebuild(): Promise<void> {
    const listed = await this.worker.list();
    const now = this.clock.now();
    const running = listed.map(({task, epoch, leaseMilliseconds}) => ({
      task,
      epoch,
      state: 'running' as const,
      leaseDeadline: now + leaseMilliseconds,
    }));
    this.tasks.replaceAll(running);
    this.isRebuilt = true;
  }

  /** Starts one epoch of a task, or refuses it before anything runs. */
  async start(
    task: Task,
    epoch: number,
    checkpoint: string | undefined,
    leaseDeadline: number,
  ): Promise<void> {
    await this.turns.take(task.id, async () => {
      this.checkMayStart(leaseDeadline);
      this.tasks.reserve({task, epoch, state: 'starting', leaseDeadline});
      await this.startAtWorker(task, epoch, checkpoint, leaseDeadline);
    });
  }

  /** Extends the owner's leases; returns the tasks that do not run here. */
  renew(
    tasks: readonly TaskReference[],
    leaseDeadline: number,
  ): readonly string[] {
    this.requireRebuilt();
    const missing: string[] = [];
    for (const {taskId, epoch} of tasks) {
      const kept = this.tasks.at(taskId, epoch);
      if (kept) this.tasks.extend(kept, leaseDeadline);
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
    this.requireRebuilt();
    return await this.turns.take(taskId, async () => {
      const kept = this.tasks.get(taskId);
      if (kept) refuseLaterOrEnded(kept, epoch);
      this.tasks.fence(taskId, epoch);
      const ran = kept?.epoch ?? epoch;
      const saved = await this.stopAtWorker(taskId, ran, checkpoint);
      this.tasks.forget(taskId, ran);
      return saved;
    });
  }

  /** Ends a kept task by the agent's own decision, progress saved. */
  async end(
    kept: KeptTask,
    result: 'lapsed' | 'evicted',
  ): Promise<WorkerEnding | undefined> {
    const {task, epoch} = kept;
    return await this.turns.take(task.id, async () => {
      const current = this.tasks.at(task.id, epoch);
      if (!current || current.state === 'ended') return undefined;
      const checkpoint = await this.stopAtWorker(task.id, epoch, true);
      this.tasks.advance(task.id, epoch, 'end');
      return {taskId: task.id, epoch, result, checkpoint};
    });
  }

  /** Takes in an end at the worker; it is kept until it is acknowledged. */
  ended({taskId, epoch}: TaskReference): void {
    this.tasks.advance(taskId, epoch, 'end');
  }

  /** Forgets a task whose owner knows how it ended. */
  acknowledged({taskId, epoch}: TaskReference): void {
    this.tasks.forget(taskId, epoch);
  }

  /**
   * Renews the worker's leases, as far as those of the owners reach.
   *
   * Returns endings for the tasks that the worker has lost.
   */
  async renewAtWorker(): Promise<readonly WorkerEnding[]> {
    this.tasks.dropOldFences();
    const now = this.clock.now();
    const renewed = this.tasks.all.filter(
      kept => kept.state === 'running' && kept.leaseDeadline > now,
    );
    if (renewed.length === 0) return [];
    const tasks = renewed.map(({task, leaseDeadline}) => ({
      taskId: task.id,
      leaseMilliseconds: this.workerLease(leaseDeadline),
    }));
    const missing = new Set(await this.worker.renew(tasks));
    const lost = renewed.filter(kept => missing.has(kept.task.id));
    if (lost.length === 0) return [];
    return await this.endLost(lost);
  }

  /** Makes sure that a start with an unknown result does not run. */
  async settleUncertain(): Promise<void> {
    const uncertain = this.tasks.all.filter(one => one.state === 'uncertain');
    const settled = uncertain.map(({task, epoch}) =>
      this.turns.take(task.id, () => this.settle(task.id, epoch)),
    );
    await Promise.allSettled(settled);
  }

  private checkMayStart(leaseDeadline: number): void {
    this.requireRebuilt();
    const now = this.clock.now();
    const refusal = this.permission.refusal(now);
    if (refusal) throw new ChicoryspringError(refusal, 'no start permission');
    if (leaseDeadline > now) return;
    throw new ChicoryspringError('lease-lapsed', 'the start came too late');
  }

  private requireRebuilt(): void {
    if (this.isRebuilt) return;
    const message = 'the ledger is not rebuilt yet';
    throw new ChicoryspringError('worker-unreachable', message);
  }

  private async startAtWorker(
    task: Task,
    epoch: number,
    checkpoint: string | undefined,
    leaseDeadline: number,
  ): Promise<void> {
    const lease = this.workerLease(leaseDeadline);
    try {
      await this.worker.start(task, epoch, checkpoint, lease);
      this.tasks.advance(task.id, epoch, 'started');
    } catch (thrown) {
      const {outcome} = toChicoryspringError(thrown).answer;
      if (outcome === 'not-run') this.tasks.forget(task.id, epoch);
      else await this.loseReply(task.id, epoch);
      throw thrown;
    }
  }

  /** The capacity stays taken until the worker says that nothing runs. */
  private async loseReply(taskId: string, epoch: number): Promise<void> {
    this.tasks.advance(taskId, epoch, 'reply-lost');
    await this.settle(taskId, epoch).catch(() => undefined);
  }

  private async settle(taskId: string, epoch: number): Promise<void> {
    if (this.tasks.at(taskId, epoch)?.state !== 'uncertain') return;
    await this.stopAtWorker(taskId, epoch, false);
    // The worker may have read the start only after this stop.
    const listed = await this.worker.list();
    const runs = listed.some(({task}) => task.id === taskId);
    if (runs) await this.stopAtWorker(taskId, epoch, false);
    this.tasks.forget(taskId, epoch);
  }

  /** Stops a task, unless it ended before: its ending counts then. */
  private async stopAtWorker(
    taskId: string,
    epoch: number,
    checkpoint: boolean,
  ): Promise<string | undefined> {
    const saved = await this.worker.stop(taskId, checkpoint);
    if (saved !== undefined) return saved;
    const endings = await this.worker.pendingEndings();
    const hasEnded = endings.some(
      ending => ending.taskId === taskId && ending.epoch === epoch,
    );
    if (!hasEnded) return undefined;
    this.ended({taskId, epoch});
    throw endingOnItsWay(taskId);
  }

  private async endLost(
    lost: readonly KeptTask[],
  ): Promise<readonly WorkerEnding[]> {
    const endings = await this.worker.pendingEndings();
    const known = new Set(endings.map(({taskId}) => taskId));
    const made: WorkerEnding[] = [];
    for (const {task, epoch} of lost) {
      const isRunning = this.tasks.at(task.id, epoch)?.state === 'running';
      if (!isRunning || known.has(task.id)) continue;
      this.ended({taskId: task.id, epoch});
      made.push({taskId: task.id, epoch, result: 'lapsed'});
    }
    return made;
  }

  private workerLease(ownerDeadline: number): number {
    const remaining = Math.max(0, ownerDeadline - this.clock.now());
    return Math.min(WORKER_LEASE_MILLISECONDS, remaining);
  }
}

function refuseLaterOrEnded(kept: KeptTask, epoch: number): void {
  const {id} = kept.task;
  if (kept.epoch > epoch) {
    throw new ChicoryspringError('stale-epoch', `${id} runs a later epoch`);
  }
  if (kept.state === 'ended' && kept.epoch === epoch) throw endingOnItsWay(id);
}

/** The owner asks again, and by then knows how the task ended. */
function endingOnItsWay(taskId: string): ChicoryspringError {
  const message = `${taskId} has ended; its ending is being reported`;
  return new ChicoryspringError('worker-refused', message);
}
