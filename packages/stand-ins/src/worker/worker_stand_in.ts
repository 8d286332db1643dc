import {randomUUID} from 'node:crypto';
import {
  ResourcesArithmetic,
  SystemClock,
  Wakeup,
  type Resources,
  type Task,
} from '@chicoryspring/contracts';
import type {RunningTask} from './running_task_types.js';
import {StoppedEpochs} from './stopped_epochs.js';
import {readTaskInput} from './task_input_reader.js';
import type {WorkerStart} from './worker_start_types.js';

const TICK_MILLISECONDS = 20;

interface Ending {
  readonly taskId: string;
  readonly epoch: number;
  readonly result: 'finished' | 'failed' | 'lapsed';
  readonly answer?: string;
  readonly checkpoint?: string;
}

/** A worker that runs tasks under leases, in memory. */
export class WorkerStandIn {
  /** Differs each time that the worker has started anew. */
  readonly incarnation = randomUUID();
  private readonly clock = new SystemClock();
  private readonly tasks = new Map<string, RunningTask>();
  private readonly stoppedEpochs = new StoppedEpochs();
  private readonly unacknowledged = new Map<string, Ending>();
  private readonly recorded: WorkerStart[] = [];
  private readonly ended = new Wakeup();
  private crashesOnStart = false;

  get starts(): readonly WorkerStart[] {
    return this.recorded;
  }

  get running(): readonly RunningTask[] {
    return [...this.tasks.values()];
  }

  get used(): Resources {
    return this.running.reduce(
      (sum, {task}) => ResourcesArithmetic.add(sum, task.resources),
      ResourcesArithmetic.none,
    );
  }

  leaseOf(running: RunningTask): number {
    return Math.max(0, running.leaseDeadline - this.clock.now());
  }

  /** Sets a fault by name: `crash-on-start` or `none`. */
  setFault(name: string): void {
    this.crashesOnStart = name === 'crash-on-start';
  }

  /** Starts a task; throws for an epoch that was stopped before. */
  start(
    task: Task,
    epoch: number,
    checkpoint: string | undefined,
    leaseMilliseconds: number,
  ): void {
    const now = this.clock.now();
    this.stoppedEpochs.requireLater(task.id, epoch);
    const {workMilliseconds} = readTaskInput(task);
    this.recordEnd(task.id);
    const {processors} = task.resources;
    this.recorded.push({task: task.id, epoch, processors, atMilliseconds: now});
    this.tasks.set(task.id, {
      task,
      epoch,
      leaseDeadline: now + leaseMilliseconds,
      countedAt: now,
      remainingMilliseconds: Number(checkpoint ?? workMilliseconds),
    });
    if (this.crashesOnStart) this.end(task.id, {result: 'failed'});
  }

  /** Extends leases; returns the tasks that do not run. */
  renew(
    tasks: readonly {
      readonly taskId: string;
      readonly leaseMilliseconds: number;
    }[],
  ): readonly string[] {
    const now = this.clock.now();
    const missing: string[] = [];
    for (const {taskId, leaseMilliseconds} of tasks) {
      const running = this.tasks.get(taskId);
      if (!running) missing.push(taskId);
      else {
        const leaseDeadline = now + leaseMilliseconds;
        this.tasks.set(taskId, {...running, leaseDeadline});
      }
    }
    return missing;
  }

  /** Stops a task; returns its progress. */
  stop(taskId: string, epoch: number): string | undefined {
    this.stoppedEpochs.record(taskId, epoch, this.clock.now());
    const running = this.tasks.get(taskId);
    if (!running) return undefined;
    this.tasks.delete(taskId);
    this.recordEnd(taskId);
    return this.progressOf(running);
  }

  /** Endings that nobody acknowledged; waits for one when there is none. */
  async endings(waitMilliseconds: number): Promise<readonly Ending[]> {
    const deadline = this.clock.now() + waitMilliseconds;
    const waited = new AbortController();
    if (this.unacknowledged.size === 0) {
      await Promise.race([
        this.ended.wait(waited.signal),
        this.clock.sleepUntil(deadline, waited.signal),
      ]);
    }
    waited.abort();
    return [...this.unacknowledged.values()];
  }

  acknowledge(taskId: string, epoch: number): void {
    this.unacknowledged.delete(`${taskId}/${epoch}`);
  }

  /** The task of the worker: counts progress and ends what is done. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      for (const running of this.running) this.tick(running);
      await this.clock.sleepUntil(this.clock.now() + TICK_MILLISECONDS, signal);
    }
  }

  private tick(running: RunningTask): void {
    const now = this.clock.now();
    const {task, leaseDeadline} = running;
    if (leaseDeadline <= now) {
      const checkpoint = this.progressOf(running);
      return this.end(task.id, {result: 'lapsed', checkpoint});
    }
    const done = now - running.countedAt;
    const remainingMilliseconds = running.remainingMilliseconds - done;
    if (task.kind === 'run' && remainingMilliseconds <= 0) {
      const {answer} = readTaskInput(task);
      return this.end(task.id, {result: 'finished', answer});
    }
    this.tasks.set(task.id, {
      ...running,
      countedAt: now,
      remainingMilliseconds,
    });
  }

  private recordEnd(taskId: string): void {
    const position = this.recorded.findLastIndex(one => one.task === taskId);
    const start = this.recorded[position];
    if (!start || start.endedAtMilliseconds !== undefined) return;
    const endedAtMilliseconds = this.clock.now();
    this.recorded[position] = {...start, endedAtMilliseconds};
  }

  private progressOf(running: RunningTask): string {
    return String(Math.max(0, Math.ceil(running.remainingMilliseconds)));
  }

  private end(
    taskId: string,
    ending: Pick<Ending, 'result' | 'answer' | 'checkpoint'>,
  ): void {
    const running = this.tasks.get(taskId);
    if (!running) return;
    const {epoch} = running;
    this.tasks.delete(taskId);
    this.recordEnd(taskId);
    this.unacknowledged.set(`${taskId}/${epoch}`, {taskId, epoch, ...ending});
    this.ended.notify();
  }
}
