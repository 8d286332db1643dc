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

interface RunName {
  readonly task: string;
  readonly run: number;
}

/**
 * The runs, the lease and the endings of one incarnation of a worker.
 *
 * Deadlines of leases are instants of the clock; the lease covers all runs.
 */
export class WorkerRuns {
  /** Every run that began, `TASK#RUN`, in order. */
  readonly began: string[] = [];
  readonly running = new Map<string, RunName>();
  /** Endings up to this number were acknowledged. */
  acknowledgedUpTo = 0;
  private readonly ended: RunEnding[] = [];
  /** Highest run of each task that was stopped or has ended. */
  private readonly closedRunByTask = new Map<string, number>();
  private highestFence = 0;
  private leaseDeadline = 0;

  constructor(
    private readonly clock: ManualClock,
    private readonly history: RunHistory,
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
    {task, run}: RunOrder,
    fence: number,
    deadline: number,
  ): RunStartAnswer {
    if (!this.accepts(fence)) return 'fenced';
    if (deadline <= this.clock.now()) return 'late';
    this.extendLease(deadline);
    if (this.running.get(task)?.run === run) return 'started';
    if (run <= (this.closedRunByTask.get(task) ?? 0)) return 'old';
    this.began.push(`${task}#${run}`);
    this.history.add({kind: 'began', worker: this, task, run});
    this.running.set(task, {task, run});
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
    if (this.running.get(task)?.run === run) this.end(task, 'stopped');
  }

  /** Forgets endings and extends the lease, if it is given; false if fenced. */
  hold(fence: number, upTo: number, deadline: number | undefined): boolean {
    if (!this.accepts(fence)) return false;
    if (upTo > this.acknowledgedUpTo) {
      this.acknowledgedUpTo = upTo;
      this.history.add({kind: 'acknowledged', worker: this, upTo});
    }
    if (deadline !== undefined) this.extendLease(deadline);
    return true;
  }

  /** Ends the run of a task, if it runs. */
  end(task: string, cause: RunEndingCause): void {
    const name = this.running.get(task);
    if (!name) return;
    this.running.delete(task);
    this.close(task, name.run);
    const number = this.ended.length + 1;
    this.ended.push({number, ...name, cause, checkpoint: ''});
    this.history.add({kind: 'ended', worker: this, ...name, number, cause});
  }

  /** Ends all runs, unlisted, as the process has ended. */
  crash(): void {
    for (const task of [...this.running.keys()]) this.end(task, 'lapsed');
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
    this.history.add({kind: 'lapsed', worker: this});
    for (const task of [...this.running.keys()]) this.end(task, 'lapsed');
  }
}
