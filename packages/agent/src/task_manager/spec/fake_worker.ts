import {
  ChicoryspringError,
  type Resources,
  type Task,
} from '@chicoryspring/contracts';
import type {WorkerClient} from '../../worker_client/worker_client_types.js';
import type {WorkerEnding} from '../../worker_client/worker_ending_types.js';
import type {WorkerTaskList} from '../../worker_client/worker_task_list_types.js';
import type {WorkerTask} from '../../worker_client/worker_task_types.js';

/** An in-memory worker that can be unreachable and lose replies. */
export class FakeWorker implements WorkerClient {
  readonly running = new Map<string, WorkerTask>();
  readonly starts: string[] = [];
  readonly renewals: string[] = [];
  isReachable = true;
  /** Counts how often the worker has started. */
  incarnation = 1;
  /** Whether the next start takes effect but its reply is lost. */
  losesNextReply = false;
  /** Whether the next stop takes effect but its reply is lost. */
  losesNextStop = false;
  private pending: readonly WorkerEnding[] = [];
  /** Highest epoch that was stopped, by task. */
  private readonly stoppedEpochs = new Map<string, number>();

  async start(task: Task, epoch: number): Promise<void> {
    await this.requireReachable();
    if (epoch <= (this.stoppedEpochs.get(task.id) ?? 0))
      throw new ChicoryspringError('worker-refused', 'stopped before');
    this.starts.push(`${task.id}/${epoch}`);
    this.running.set(task.id, {task, epoch, leaseMilliseconds: 3_000});
    if (!this.losesNextReply) return;
    this.losesNextReply = false;
    this.isReachable = false;
    throw new ChicoryspringError('worker-refused', 'the reply was lost');
  }

  async renew(
    tasks: readonly {readonly taskId: string}[],
  ): Promise<readonly string[]> {
    await this.requireReachable();
    this.renewals.push(...tasks.map(({taskId}) => taskId));
    return tasks
      .map(({taskId}) => taskId)
      .filter(taskId => !this.running.has(taskId));
  }

  async stop(taskId: string, epoch: number): Promise<string | undefined> {
    await this.requireReachable();
    this.stoppedEpochs.set(taskId, epoch);
    const wasRunning = this.running.delete(taskId);
    if (!this.losesNextStop) return wasRunning ? `saved-${taskId}` : undefined;
    this.losesNextStop = false;
    this.isReachable = false;
    throw new ChicoryspringError('worker-refused', 'the reply was lost');
  }

  async list(): Promise<WorkerTaskList> {
    await this.requireReachable();
    const {incarnation} = this;
    return {tasks: [...this.running.values()], incarnation: `${incarnation}`};
  }

  async usage(): Promise<Resources> {
    throw new ChicoryspringError('worker-refused', 'not measured');
  }

  async waitForEndings(): Promise<readonly WorkerEnding[]> {
    return await this.pendingEndings();
  }

  async pendingEndings(): Promise<readonly WorkerEnding[]> {
    await this.requireReachable();
    return this.pending;
  }

  async acknowledge(taskId: string, epoch: number): Promise<void> {
    await this.requireReachable();
    this.pending = this.pending.filter(
      ending => ending.taskId !== taskId || ending.epoch !== epoch,
    );
  }

  /** Ends all tasks without an ending, as a worker that starts anew. */
  restart(): void {
    this.running.clear();
    this.stoppedEpochs.clear();
    this.pending = [];
    this.incarnation += 1;
  }

  /** Lets a running task finish. */
  finish(taskId: string): void {
    const ended = this.running.get(taskId);
    if (!ended) return;
    this.running.delete(taskId);
    const {epoch} = ended;
    const ending = {taskId, epoch, result: 'finished' as const, answer: 'done'};
    this.pending = [...this.pending, ending];
  }

  private async requireReachable(): Promise<void> {
    await Promise.resolve();
    if (this.isReachable) return;
    throw new ChicoryspringError('worker-refused', 'no reply');
  }
}
