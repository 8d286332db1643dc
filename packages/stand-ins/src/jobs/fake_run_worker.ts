import {
  ChicoryspringError,
  type RunEnding,
  type RunEndingCause,
  type RunOrder,
} from '@chicoryspring/contracts';
import type {
  LeaseRenewalAnswer,
  LeaseRenewal,
  RunStartAnswer,
  RunWorkerClient,
} from '@chicoryspring/agent';
import type {ManualClock} from '@chicoryspring/testing';

interface FakeRun {
  readonly task: string;
  readonly run: number;
}

/** A worker in memory, which outlives its agent and can be silent. */
export class FakeRunWorker implements RunWorkerClient {
  /** Every run that began, `TASK#RUN`, in order. */
  readonly began: string[] = [];
  readonly running = new Map<string, FakeRun>();
  /** Ends up to this number were acknowledged. */
  acknowledgedUpTo = 0;
  /** Whether the next start takes effect only when `applyLate` is called. */
  delaysNextStart = false;
  isSilent = false;
  private readonly ended: RunEnding[] = [];
  private highestFence = 0;
  private leaseDeadline = 0;
  private late: (() => void) | undefined;

  constructor(private readonly clock: ManualClock) {}

  /** Tasks with a run that ended as done and whose end was acknowledged. */
  get acknowledgedDone(): readonly string[] {
    return this.ended
      .filter(one => one.number <= this.acknowledgedUpTo)
      .filter(one => one.cause === 'done')
      .map(one => one.task);
  }

  async start(
    order: RunOrder,
    fence: number,
    leaseMilliseconds: number,
  ): Promise<RunStartAnswer> {
    const begin = () => this.begin(order, fence, leaseMilliseconds);
    if (this.delaysNextStart) {
      this.delaysNextStart = false;
      this.late = () => void begin();
      throw new ChicoryspringError('outcome-unknown', 'no answer');
    }
    await this.pass();
    return begin();
  }

  /** Carries out the start that had no answer. */
  applyLate(): void {
    this.late?.();
  }

  async stop(task: string, run: number): Promise<void> {
    await this.pass();
    if (this.running.get(task)?.run === run) this.end(task, 'stopped');
  }

  async renewLease(renewal: LeaseRenewal): Promise<LeaseRenewalAnswer> {
    const {fencingToken: fence, leaseMilliseconds, waitMilliseconds} = renewal;
    await this.pass();
    if (fence < this.highestFence) return {kind: 'fenced'};
    this.highestFence = fence;
    this.lapse();
    this.acknowledgedUpTo = renewal.acknowledgedUpTo;
    if (leaseMilliseconds) this.extend(leaseMilliseconds);
    const isNew = this.ended.some(one => one.number > this.acknowledgedUpTo);
    if (!isNew) {
      await this.clock.sleepUntil(this.clock.now() + waitMilliseconds);
    }
    await this.pass();
    return {
      kind: 'held',
      running: [...this.running.values()].map(one => ({
        ...one,
        checkpoint: '',
        percent: 0,
        measure: 0,
      })),
      endings: this.ended.filter(one => one.number > this.acknowledgedUpTo),
    };
  }

  async pace(): Promise<void> {}

  async close(): Promise<void> {}

  /** Ends the run of a task. */
  end(task: string, cause: RunEndingCause): void {
    const run = this.running.get(task);
    if (!run) return;
    this.running.delete(task);
    const number = this.ended.length + 1;
    this.ended.push({number, ...run, cause, checkpoint: ''});
  }

  private begin(
    {task, run}: RunOrder,
    fence: number,
    leaseMilliseconds: number,
  ): RunStartAnswer {
    if (fence < this.highestFence) return 'fenced';
    this.highestFence = fence;
    if (this.running.get(task)?.run === run) return 'started';
    const isOld = this.ended.some(one => one.task === task && one.run >= run);
    if (isOld) return 'old';
    this.began.push(`${task}#${run}`);
    this.running.set(task, {task, run});
    this.extend(leaseMilliseconds);
    return 'started';
  }

  private extend(milliseconds: number): void {
    const deadline = this.clock.now() + milliseconds;
    this.leaseDeadline = Math.max(this.leaseDeadline, deadline);
  }

  private lapse(): void {
    if (this.clock.now() < this.leaseDeadline) return;
    for (const task of [...this.running.keys()]) this.end(task, 'lapsed');
  }

  private async pass(): Promise<void> {
    if (!this.isSilent) return;
    await this.clock.sleepUntil(this.clock.now() + 500);
    throw new ChicoryspringError('outcome-unknown', 'the worker is silent');
  }
}
