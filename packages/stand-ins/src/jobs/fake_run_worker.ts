import {
  ChicoryspringError,
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
import type {CallFate} from './call_fate_types.js';
import {CallScript} from './call_script.js';
import {RunHistory} from './run_history.js';
import type {StartFate} from './start_fate_types.js';
import {WorkerRuns} from './worker_runs.js';

/** Time after which a call without an answer fails. */
const CALL_TIMEOUT_MILLISECONDS = 700;
/** Highest ratio of a lease on the worker's clock, which may be slow. */
const CLOCK_RATIO = 1.02;

/**
 * A worker in memory, which outlives its agent.
 *
 * A test says what becomes of each call. The lease expires by itself, at the
 * latest instant at which that of a real worker does.
 */
export class FakeRunWorker implements RunWorkerClient {
  readonly starts = new CallScript<StartFate>('answered');
  readonly stops = new CallScript<CallFate>('answered');
  readonly renewals = new CallScript<CallFate>('answered');
  /** Whether all calls are lost, whatever the scripts say. */
  isSilent = false;
  private readonly runs: WorkerRuns;
  private readonly lateCalls: (() => unknown)[] = [];

  constructor(
    private readonly clock: ManualClock,
    history = new RunHistory(),
  ) {
    this.runs = new WorkerRuns(clock, history);
  }

  /** Every run that began, `TASK#RUN`, in order. */
  get began(): readonly string[] {
    return this.runs.began;
  }

  /** The runs in progress, by task. */
  get running(): WorkerRuns['running'] {
    return this.runs.running;
  }

  /** Ends up to this number were acknowledged. */
  get acknowledgedUpTo(): number {
    return this.runs.acknowledgedUpTo;
  }

  /** Tasks with a run that ended as done and whose end was acknowledged. */
  get acknowledgedDone(): readonly string[] {
    return this.runs.endings
      .filter(one => one.number <= this.acknowledgedUpTo)
      .filter(one => one.cause === 'done')
      .map(one => one.task);
  }

  async start(
    order: RunOrder,
    fence: number,
    leaseMilliseconds: number,
  ): Promise<RunStartAnswer> {
    const deadline = this.deadlineOf(leaseMilliseconds);
    const fate = this.starts.take();
    if (typeof fate === 'string') {
      const start = () => this.runs.start(order, fence, deadline);
      return await this.carryOut(fate, start);
    }
    return await this.carryOut('answered', () =>
      this.runs.reject(fate.answer, fence, deadline),
    );
  }

  async stop(task: string, run: number, fence: number): Promise<void> {
    const stop = () => this.runs.stop(task, run, fence);
    await this.carryOut(this.stops.take(), stop);
  }

  async renewLease(renewal: LeaseRenewal): Promise<LeaseRenewalAnswer> {
    const {fencingToken, acknowledgedUpTo, leaseMilliseconds} = renewal;
    const deadline = leaseMilliseconds && this.deadlineOf(leaseMilliseconds);
    const isAccepted = await this.carryOut(this.renewals.take(), () =>
      this.runs.hold(fencingToken, acknowledgedUpTo, deadline),
    );
    if (!isAccepted) return {kind: 'fenced'};
    if (this.runs.listedEndings.length === 0)
      await this.sleep(renewal.waitMilliseconds);
    // It may have become silent in the meantime.
    return await this.carryOut('answered', () => this.list());
  }

  async pace(): Promise<void> {}

  async close(): Promise<void> {}

  /** Carries out the calls that are late, and again those that were. */
  applyLate(): void {
    for (const call of this.lateCalls) call();
  }

  /** Ends the process: its runs are gone, and it answers nothing from now on. */
  crash(): void {
    this.isSilent = true;
    this.runs.crash();
  }

  /** Ends the run of a task. */
  end(task: string, cause: RunEndingCause): void {
    this.runs.end(task, cause);
  }

  private list(): LeaseRenewalAnswer {
    return {
      kind: 'held',
      running: [...this.running.values()].map(one => ({
        ...one,
        checkpoint: '',
        percent: 0,
        measure: 0,
      })),
      endings: this.runs.listedEndings,
      hasAllEndings: this.runs.hasRoomForEndings,
    };
  }

  /** Answers as the call does, or fails as one without an answer. */
  private async carryOut<T>(fate: CallFate, call: () => T): Promise<T> {
    const actual = this.isSilent ? 'lost' : fate;
    if (actual === 'answered') return call();
    if (actual === 'unanswered') call();
    if (actual === 'late') this.lateCalls.push(call);
    await this.sleep(CALL_TIMEOUT_MILLISECONDS);
    throw new ChicoryspringError('outcome-unknown', 'no answer');
  }

  private deadlineOf(leaseMilliseconds: number): number {
    return this.clock.now() + leaseMilliseconds * CLOCK_RATIO;
  }

  private async sleep(milliseconds: number): Promise<void> {
    await this.clock.sleepUntil(this.clock.now() + milliseconds);
  }
}
