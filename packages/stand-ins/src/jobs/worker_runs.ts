import {
  ChicoryspringError,
  type RunEnding,
  type RunEndingCause,
  type RunOrder,
} from '@chicoryspring/contracts';
import type {RunStartAnswer} from '@chicoryspring/agent';
import type {ManualClock} from '@chicoryspring/testing';
import type {RunHistory} from './run_history.js';

/** Rejections of a start order that extend the lease. */
const LEASING_REJECTIONS = new Set<RunStartAnswer>(['old', 'room']);

/** Maximum of endings in one answer. */
const MAX_LISTED_ENDINGS = 500;

interface RunInProgress {
  readonly task: string;
  readonly run: number;
  readonly checkpoint: string;
}

/**
 * The runs, the lease and the endings of one incarnation of a worker.
 *
 * Deadlines of leases are instants of the clock; the lease covers all runs.
 */
export class WorkerRuns {
  /** Every run that began, `TASK#RUN`, in order. */
  readonly began: string[] = [];
  readonly running = new Map<string, RunInProgress>();
  /** Endings up to this number were acknowledged. */
  acknowledgedUpTo = 0;
  /** Tasks of acknowledged endings `done`, if no lease expired in between. */
  readonly acknowledgedDone: string[] = [];
  private readonly ended: RunEnding[] = [];
  /** Endings up to this number are from before the lease last expired. */
  private lapsedUpTo = 0;
  /** Highest run of each task that was stopped or has ended. */
  private readonly closedRunByTask = new Map<string, number>();
  private highestFence = 0;
  private leaseDeadline = 0;

  constructor(
    private readonly clock: ManualClock,
    private readonly history: RunHistory,
    /** Time that a run takes to stop. */
    private readonly stopMilliseconds = 0,
  ) {}

  /** All endings, also those that were acknowledged. */
  get endings(): readonly RunEnding[] {
    return this.ended;
  }

  /** The oldest endings that were not acknowledged, as one answer has them. */
  get listedEndings(): readonly RunEnding[] {
    const listed = this.ended.filter(one => one.number > this.acknowledgedUpTo);
    return listed.slice(0, MAX_LISTED_ENDINGS);
  }

  /** Whether one answer has room for more endings. */
  get hasRoomForEndings(): boolean {
    return this.listedEndings.length < MAX_LISTED_ENDINGS;
  }

  /** Carries out a start order whose lease has the given deadline. */
  start(
    {task, run, checkpoint = ''}: RunOrder,
    fence: number,
    deadline: number,
  ): RunStartAnswer {
    if (!this.accepts(fence)) return 'fenced';
    if (deadline <= this.clock.now()) return 'late';
    this.extendLease(deadline);
    if (run <= (this.closedRunByTask.get(task) ?? 0)) return 'old';
    if (this.running.get(task)?.run === run) return 'started';
    this.began.push(`${task}#${run}`);
    this.history.add({kind: 'began', worker: this, task, run, checkpoint});
    this.running.set(task, {task, run, checkpoint});
    return 'started';
  }

  /** Rejects a start order; its lease holds all the same for some answers. */
  reject<T extends RunStartAnswer>(
    answer: T,
    fence: number,
    deadline: number,
  ): T | 'fenced' {
    if (!this.accepts(fence)) return 'fenced';
    if (LEASING_REJECTIONS.has(answer)) this.extendLease(deadline);
    return answer;
  }

  /** Stops a run; one that is not there yet can no longer start. */
  stop(task: string, run: number, fence: number): void {
    this.requireFence(fence);
    this.close(task, run);
    const end = () => {
      if (this.running.get(task)?.run === run) this.end(task, 'stopped');
    };
    if (this.stopMilliseconds === 0) end();
    else this.clock.schedule(this.clock.now() + this.stopMilliseconds, end);
  }

  /** Forgets endings and extends the lease, if it is given; false if fenced. */
  hold(fence: number, upTo: number, deadline: number | undefined): boolean {
    if (!this.accepts(fence)) return false;
    if (upTo > this.acknowledgedUpTo) this.acknowledge(upTo);
    if (deadline !== undefined) this.extendLease(deadline);
    return true;
  }

  /** Makes a checkpoint of the run of a task, if it runs. */
  saveCheckpoint(task: string, checkpoint: string): void {
    const run = this.running.get(task);
    if (run) this.running.set(task, {...run, checkpoint});
  }

  /** Ends the run of a task, if it runs. */
  end(task: string, cause: RunEndingCause): void {
    const ended = this.running.get(task);
    if (!ended) return;
    const {run} = ended;
    this.running.delete(task);
    this.close(task, run);
    const number = this.ended.length + 1;
    this.ended.push({number, ...ended, cause});
    this.history.add({kind: 'ended', worker: this, task, run, number, cause});
  }

  /** Whether the fencing token is not lower than the highest seen. */
  private accepts(fence: number): boolean {
    this.lapse();
    if (fence < this.highestFence) return false;
    this.highestFence = fence;
    return true;
  }

  private requireFence(fence: number): void {
    if (this.accepts(fence)) return;
    throw new ChicoryspringError('worker-refused', 'lower fencing token');
  }

  private acknowledge(upTo: number): void {
    const first = Math.max(this.acknowledgedUpTo, this.lapsedUpTo);
    const done = this.ended
      .slice(first, upTo)
      .filter(one => one.cause === 'done');
    this.acknowledgedDone.push(...done.map(one => one.task));
    this.acknowledgedUpTo = upTo;
    this.history.add({kind: 'acknowledged', worker: this, upTo});
  }

  private close(task: string, run: number): void {
    const closed = this.closedRunByTask.get(task) ?? 0;
    this.closedRunByTask.set(task, Math.max(closed, run));
  }

  private extendLease(deadline: number): void {
    if (deadline <= this.leaseDeadline) return;
    this.leaseDeadline = deadline;
    this.clock.schedule(deadline, () => this.lapse());
  }

  /** Ends all runs if the lease has expired. */
  private lapse(): void {
    const hasLapsed = this.clock.now() >= this.leaseDeadline;
    if (this.leaseDeadline === 0 || !hasLapsed) return;
    this.leaseDeadline = 0;
    this.lapsedUpTo = this.ended.length;
    this.history.add({kind: 'lapsed', worker: this});
    for (const task of [...this.running.keys()]) this.end(task, 'lapsed');
  }
}
