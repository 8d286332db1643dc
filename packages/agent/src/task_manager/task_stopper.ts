import {
  ChicoryspringError,
  toChicoryspringError,
} from '@chicoryspring/contracts';
import type {WorkerClient} from '../worker_client/worker_client_types.js';
import type {WorkerEnding} from '../worker_client/worker_ending_types.js';
import type {ManagedTask} from './managed_task_types.js';
import type {ManagedTaskTable} from './managed_task_table.js';
import {TaskProbation} from './task_probation.js';
import type {WorkerTaskLister} from './worker_task_lister.js';

/** Stops tasks at the worker, and finds out which of them it has lost. */
export class TaskStopper {
  constructor(
    private readonly worker: WorkerClient,
    private readonly tasks: ManagedTaskTable,
    private readonly lister: WorkerTaskLister,
  ) {}

  /** Stops a task; throws if it ended before, since then its ending counts. */
  async stop(
    taskId: string,
    epoch: number,
    checkpoint: boolean,
  ): Promise<string | undefined> {
    const saved = await this.sendStop(taskId, epoch, checkpoint);
    if (saved !== undefined) return saved;
    const endings = await this.worker.pendingEndings();
    const hasEnded = endings.some(
      ending => ending.taskId === taskId && ending.epoch === epoch,
    );
    if (!hasEnded) return undefined;
    this.tasks.advance(taskId, epoch, 'end');
    throw endingPendingError(taskId);
  }

  /**
   * Stops a task whose start has an unknown outcome.
   *
   * Returns its ending if the worker has started anew since, and so lost it.
   */
  async stopUncertain(
    taskId: string,
    epoch: number,
  ): Promise<WorkerEnding | undefined> {
    const managed = this.tasks.getAtEpoch(taskId, epoch);
    if (managed?.state !== 'uncertain') return undefined;
    const saved = await this.stop(taskId, epoch, false);
    // The worker may have read the delayed start only after this stop.
    const listed = await this.lister.list();
    const isRunning = listed.some(({task}) => task.id === taskId);
    if (isRunning) await this.stop(taskId, epoch, false);
    const hasRun = isRunning || saved !== undefined;
    if (!hasRun && this.lister.hasRestartedSince(managed))
      return this.recordLoss(managed);
    this.tasks.forget(taskId, epoch);
    return undefined;
  }

  /** Returns the ending of a task that the worker says it doesn't run. */
  async recordMissing({
    task,
    epoch,
  }: ManagedTask): Promise<WorkerEnding | undefined> {
    const endings = await this.worker.pendingEndings();
    if (endings.some(ending => ending.taskId === task.id)) return undefined;
    // Without it a later start would be taken for one that crashed.
    await this.lister.list();
    const managed = this.tasks.getAtEpoch(task.id, epoch);
    return managed?.state === 'running' ? this.recordLoss(managed) : undefined;
  }

  /** Throws if a task runs under a later epoch, or has ended. */
  static requireStoppable(
    {task, epoch, state}: ManagedTask,
    stopped: number,
  ): void {
    if (epoch > stopped) {
      const message = `${task.id} runs a later epoch`;
      throw new ChicoryspringError('stale-epoch', message);
    }
    if (state === 'ended' && epoch === stopped)
      throw endingPendingError(task.id);
  }

  private async sendStop(
    taskId: string,
    epoch: number,
    checkpoint: boolean,
  ): Promise<string | undefined> {
    try {
      return await this.worker.stop(taskId, epoch, checkpoint);
    } catch (thrown) {
      const {outcome} = toChicoryspringError(thrown).answer;
      if (outcome !== 'not-run') this.tasks.recordStopSent(taskId, epoch);
      throw thrown;
    }
  }

  /** Ends a task; one that a stop may have ended doesn't count as lost. */
  private recordLoss(managed: ManagedTask): WorkerEnding {
    const {task, epoch, isStopSent} = managed;
    this.tasks.advance(task.id, epoch, 'end');
    const hasRestarted = this.lister.hasRestartedSince(managed);
    const mayBeStopped = isStopSent && !hasRestarted;
    const loss = mayBeStopped ? undefined : TaskProbation.lossOf(managed);
    return {taskId: task.id, epoch, result: 'lapsed', loss};
  }
}

/** The owner retries, and by then has received the ending. */
function endingPendingError(taskId: string): ChicoryspringError {
  const message = `${taskId} has ended; its ending is being reported`;
  return new ChicoryspringError('worker-refused', message);
}
