import {
  ChicoryspringError,
  type RunEndingCause,
  type RunOrder,
} from '@chicoryspring/contracts';
import type {
  LeaseRenewal,
  LeaseRenewalAnswer,
  RunStartAnswer,
  RunWorkerClient,
} from '@chicoryspring/agent';
import type {ManualClock} from '@chicoryspring/testing';
import type {CallFate} from './call_fate_types.js';
import type {RivalWorker} from './rival_worker_types.js';
import type {RunHistory} from './run_history.js';
import type {UnreliableWorkerOptions} from './unreliable_worker_options_types.js';
import {WorkerRuns} from './worker_runs.js';

/** Time after which a call without an answer fails. */
const CALL_TIMEOUT_MILLISECONDS = 700;
const MAX_ANSWER_DELAY_MILLISECONDS = 600;
/** Time after which a call that is late is carried out, at least and at most. */
const MIN_LATE_MILLISECONDS = 1_500;
const MAX_LATE_MILLISECONDS = 12_000;
const MAX_STOP_MILLISECONDS = 900;
/** Ratios of a lease to its length on the clock of the worker. */
const CLOCK_RATIOS = [1, 1.02];
const POLL_MILLISECONDS = 20;
const FATES = ['unanswered', 'lost', 'late'] as const;
const REJECTIONS = ['room', 'ticket', 'unhealthy', 'malformed'] as const;

/**
 * One incarnation of a worker in memory, some of whose answers are late or never
 * come, while the calls may be carried out seconds later.
 */
export class UnreliableWorker implements RunWorkerClient, RivalWorker {
  options: UnreliableWorkerOptions = {unansweredShare: 0, rejectedShare: 0};
  /** Instant until which the path to it refuses connections; it goes on. */
  refusalDeadline = 0;
  private readonly runs: WorkerRuns;
  private readonly clockRatio: number;
  private isGone = false;

  constructor(
    private readonly clock: ManualClock,
    private readonly random: () => number,
    history: RunHistory,
    /** Whether another incarnation accepts calls by now. */
    private readonly isReplaced: () => boolean,
  ) {
    const stopMilliseconds = MAX_STOP_MILLISECONDS * random();
    this.runs = new WorkerRuns(clock, history, stopMilliseconds);
    this.clockRatio = this.pick(CLOCK_RATIOS);
  }

  get running(): ReadonlyMap<string, unknown> {
    return this.runs.running;
  }

  get began(): readonly string[] {
    return this.runs.began;
  }

  get acknowledgedDone(): readonly string[] {
    return this.runs.acknowledgedDone;
  }

  /** Ends the run of a task. */
  end(task: string, cause: RunEndingCause): void {
    this.runs.end(task, cause);
  }

  /** Ends the incarnation with all its runs; it lists none of their endings. */
  exit(): void {
    if (this.isGone) return;
    this.isGone = true;
    for (const task of [...this.running.keys()]) this.runs.end(task, 'lapsed');
  }

  async start(
    order: RunOrder,
    fence: number,
    leaseMilliseconds: number,
  ): Promise<RunStartAnswer> {
    if (this.isReplaced()) return 'other-life';
    const deadline = this.deadlineOf(leaseMilliseconds);
    const isRejected = this.random() < this.options.rejectedShare;
    const rejection = this.pick(REJECTIONS);
    return await this.carryOut(() =>
      isRejected
        ? this.runs.reject(rejection, fence, deadline)
        : this.runs.start(order, fence, deadline),
    );
  }

  async stop(task: string, run: number, fence: number): Promise<void> {
    if (this.isReplaced())
      throw new ChicoryspringError('worker-refused', 'other incarnation');
    await this.carryOut(() => this.runs.stop(task, run, fence));
  }

  async renewLease(renewal: LeaseRenewal): Promise<LeaseRenewalAnswer> {
    if (this.isReplaced()) return {kind: 'other-life'};
    const {fencingToken, acknowledgedUpTo, leaseMilliseconds} = renewal;
    const deadline = leaseMilliseconds && this.deadlineOf(leaseMilliseconds);
    const hold = () => this.runs.hold(fencingToken, acknowledgedUpTo, deadline);
    return await this.carryOut(async () => {
      if (!hold()) return {kind: 'fenced'};
      await this.waitForEnding(renewal.waitMilliseconds);
      return this.list();
    });
  }

  async pace(): Promise<void> {}

  async close(): Promise<void> {}

  private list(): LeaseRenewalAnswer {
    const running = [...this.runs.running.values()].map(one => ({
      ...one,
      checkpoint: '',
      percent: 0,
      measure: 0,
    }));
    const {listedEndings: endings, hasRoomForEndings: hasAllEndings} =
      this.runs;
    return {kind: 'held', running, endings, hasAllEndings};
  }

  private async waitForEnding(milliseconds: number): Promise<void> {
    const until = this.clock.now() + milliseconds;
    while (this.clock.now() < until && this.runs.listedEndings.length === 0)
      await this.sleep(POLL_MILLISECONDS);
  }

  /** Carries a call out now, later or never, and answers or not. */
  private async carryOut<T>(call: () => T | Promise<T>): Promise<T> {
    if (!this.isReachable)
      throw new ChicoryspringError('worker-unreachable', 'connection refused');
    const fate = this.fateOfCall();
    if (fate === 'answered') return await this.answer(call);
    if (fate === 'unanswered') this.carryOutUnseen(call);
    if (fate === 'late') {
      const delay = this.between(MIN_LATE_MILLISECONDS, MAX_LATE_MILLISECONDS);
      const carryOut = () => this.carryOutUnseen(call);
      this.clock.schedule(this.clock.now() + delay, carryOut);
    }
    await this.sleep(CALL_TIMEOUT_MILLISECONDS);
    throw new ChicoryspringError('outcome-unknown', 'no answer');
  }

  /** Answers after a while, so that answers overtake each other. */
  private async answer<T>(call: () => T | Promise<T>): Promise<T> {
    const delay = this.random() * MAX_ANSWER_DELAY_MILLISECONDS;
    const isDelayed = this.random() < this.options.unansweredShare;
    const isBefore = this.random() < 1 / 2;
    if (isDelayed && isBefore) await this.sleep(delay);
    this.requireConnection();
    const answer = await call();
    if (isDelayed && !isBefore) await this.sleep(delay);
    this.requireConnection();
    return answer;
  }

  /** Whether a connection to it is accepted. */
  private get isReachable(): boolean {
    return !this.isGone && this.clock.now() >= this.refusalDeadline;
  }

  /** Throws if the connection of a call that was sent is broken. */
  private requireConnection(): void {
    if (!this.isReachable)
      throw new ChicoryspringError('outcome-unknown', 'reset');
  }

  private carryOutUnseen(call: () => unknown): void {
    if (this.isGone) return;
    // Its answer, also a rejection, reaches nobody.
    Promise.resolve()
      .then(call)
      .catch(() => undefined);
  }

  private fateOfCall(): CallFate {
    const isUnanswered = this.random() < this.options.unansweredShare;
    return isUnanswered ? this.pick(FATES) : 'answered';
  }

  private deadlineOf(leaseMilliseconds: number): number {
    return this.clock.now() + leaseMilliseconds * this.clockRatio;
  }

  private pick<T>(choices: readonly T[]): T {
    return choices[Math.floor(this.random() * choices.length)]!;
  }

  private between(low: number, high: number): number {
    return low + (high - low) * this.random();
  }

  private async sleep(milliseconds: number): Promise<void> {
    await this.clock.sleepUntil(this.clock.now() + milliseconds);
  }
}
