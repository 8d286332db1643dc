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
import type {Deadliness} from './deadliness_types.js';
import {RunHistory} from './run_history.js';
import type {StartFate} from './start_fate_types.js';
import {WorkerRuns} from './worker_runs.js';

/** Time after which a call without an answer fails, if it asks for no wait. */
const CALL_TIMEOUT_MILLISECONDS = 700;
/** Rate of the worker's clock, the slowest that is allowed. */
const CLOCK_RATE = 0.98;
/** Time by which an agent overestimates a clock that it read 1.5 s before. */
const CLOCK_READING_ERROR_MILLISECONDS = 30;
const UNHEALTHY: LeaseRenewalAnswer = {kind: 'unhealthy'};

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
  /** Whether connections to it are refused, while its runs go on. */
  isRefusing = false;
  /** Whether it answers lease renewals, but carries out none of them. */
  isUnhealthy = false;
  /** Tasks that crash the worker once it has started them. */
  deadlyTasks: ReadonlySet<string> = new Set();
  /** How they crash it. */
  deadliness: Deadliness = {};
  private isExited = false;
  private readonly runs: WorkerRuns;
  private readonly lateCalls: (() => unknown)[] = [];

  constructor(
    private readonly clock: ManualClock,
    history = new RunHistory(),
  ) {
    this.runs = new WorkerRuns(clock, history);
  }

  /** Whether nothing listens at its address any more; what ran is gone. */
  get hasExited(): boolean {
    return this.isExited;
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
      const start = () => {
        const answer = this.runs.start(order, fence, deadline);
        this.crashUnder(order);
        return answer;
      };
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
    if (this.isUnhealthy)
      return await this.carryOut('answered', () => UNHEALTHY);
    const deadline = leaseMilliseconds && this.deadlineOf(leaseMilliseconds);
    const isAccepted = await this.carryOut(
      this.renewals.take(),
      () => this.runs.hold(fencingToken, acknowledgedUpTo, deadline),
      renewal.waitMilliseconds,
    );
    if (!isAccepted) return {kind: 'fenced'};
    if (this.runs.listedEndings.length === 0)
      await this.sleep(renewal.waitMilliseconds);
    return await this.answerHeld();
  }

  async pace(): Promise<void> {}

  async close(): Promise<void> {}

  /** Carries out the calls that are late, and again those that were. */
  applyLate(): void {
    for (const call of this.lateCalls) call();
  }

  /** Ends the worker and its runs; nothing listens at its address then. */
  exit(): void {
    for (const task of [...this.running.keys()]) this.end(task, 'lapsed');
    this.isExited = true;
  }

  /** Makes a checkpoint of the run of a task. */
  saveCheckpoint(task: string, checkpoint: string): void {
    this.runs.saveCheckpoint(task, checkpoint);
  }

  /** Ends the run of a task. */
  end(task: string, cause: RunEndingCause): void {
    this.runs.end(task, cause);
  }

  /** Crashes if a run of a deadly task is in progress, at once or later. */
  private crashUnder({task, run}: RunOrder): void {
    if (!this.deadlyTasks.has(task)) return;
    const {milliseconds = 0, isSilent = false} = this.deadliness;
    const crash = () => {
      if (this.running.get(task)?.run !== run) return;
      if (isSilent) this.isSilent = true;
      else this.exit();
    };
    if (milliseconds === 0) crash();
    else this.clock.schedule(this.clock.now() + milliseconds, crash);
  }

  /** Answers a renewal that was carried out, unless it can't any more. */
  private async answerHeld(): Promise<LeaseRenewalAnswer> {
    if (this.isUnreachable) throw connectionReset();
    return await this.carryOut('answered', () => this.list());
  }

  /** Whether no connection to it can be opened. */
  private get isUnreachable(): boolean {
    return this.isExited || this.isRefusing;
  }

  private list(): LeaseRenewalAnswer {
    return {
      kind: 'held',
      running: [...this.running.values()].map(one => ({
        ...one,
        percent: 0,
        measure: 0,
      })),
      endings: this.runs.listedEndings,
      hasAllEndings: this.runs.hasRoomForEndings,
    };
  }

  /** Answers as the call does, or fails as one without an answer. */
  private async carryOut<T>(
    fate: CallFate,
    call: () => T,
    waitMilliseconds = 0,
  ): Promise<T> {
    if (this.isUnreachable)
      throw new ChicoryspringError('worker-unreachable', 'connection refused');
    const actual = this.isSilent ? 'lost' : fate;
    if (actual === 'answered') return this.answer(call);
    if (actual === 'unanswered') call();
    if (actual === 'late') this.lateCalls.push(call);
    await this.sleep(CALL_TIMEOUT_MILLISECONDS + waitMilliseconds);
    throw new ChicoryspringError('outcome-unknown', 'no answer');
  }

  /** Answers a call; one that crashes the worker gets no answer. */
  private answer<T>(call: () => T): T {
    const answer = call();
    if (!this.isExited) return answer;
    throw connectionReset();
  }

  private deadlineOf(leaseMilliseconds: number): number {
    const onWorker = leaseMilliseconds + CLOCK_READING_ERROR_MILLISECONDS;
    return this.clock.now() + onWorker / CLOCK_RATE;
  }

  private async sleep(milliseconds: number): Promise<void> {
    await this.clock.sleepUntil(this.clock.now() + milliseconds);
  }
}

/** Failure of a call that was sent, whose connection broke. */
function connectionReset(): ChicoryspringError {
  return new ChicoryspringError('outcome-unknown', 'connection reset');
}
