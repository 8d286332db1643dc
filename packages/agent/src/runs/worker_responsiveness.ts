import type {ChicoryspringError, Clock} from '@chicoryspring/contracts';
import {ActiveTime} from './active_time.js';

/** Time without an answer after which a worker gets no new runs or leases. */
const TIMEOUT_MILLISECONDS = 1_500;
/** Time for which the worker may delay its answer until a run ends. */
const MAX_WAIT_MILLISECONDS = 400;
/** Consecutive refused connections after which a worker gets no new runs. */
const MAX_CONNECTION_REFUSALS = 3;

/** Whether one incarnation of a worker answers, as its agent has seen. */
export class WorkerResponsiveness {
  private lastAnswerAt: number;
  private isLastAnswered = true;
  private refusedConnections = 0;
  private hasOtherAnswered = false;
  private readonly activeTime: ActiveTime;
  /** Active time at the last answer. */
  private answeredActiveTime = 0;

  constructor(private readonly clock: Clock) {
    this.activeTime = new ActiveTime(clock);
    this.lastAnswerAt = clock.now();
  }

  /** Local instant of the last answer, or of the start of the session. */
  get answeredAt(): number {
    return this.lastAnswerAt;
  }

  /** Whether it has answered lately, so that it may get new runs. */
  get isAvailable(): boolean {
    const silence = this.clock.now() - this.lastAnswerAt;
    return silence < TIMEOUT_MILLISECONDS && !this.isRefusing;
  }

  /** Whether another incarnation answers at its address. */
  get isReplaced(): boolean {
    return this.hasOtherAnswered;
  }

  /**
   * Whether it has left the agent without an answer for too long.
   *
   * Time for which the agent was suspended doesn't count: it got no answer
   * then from any worker.
   */
  get isUnresponsive(): boolean {
    const silence = this.activeTime.now() - this.answeredActiveTime;
    return silence >= TIMEOUT_MILLISECONDS;
  }

  /**
   * Time for which the worker may delay its next answer, until a run ends. None
   * after a call without an answer: the sooner the next one shows whether it
   * answers, the more calls its lease lasts for.
   */
  get waitMilliseconds(): number {
    return this.isLastAnswered ? MAX_WAIT_MILLISECONDS : 0;
  }

  /**
   * Whether several connections in a row were refused. The worker may have exited,
   * or its path refuses while its runs go on.
   */
  get isRefusing(): boolean {
    return this.refusedConnections >= MAX_CONNECTION_REFUSALS;
  }

  /** The background loop that measures the time without an answer. */
  async run(signal: AbortSignal): Promise<void> {
    await this.activeTime.run(signal);
  }

  recordAnswer(): void {
    this.lastAnswerAt = this.clock.now();
    this.answeredActiveTime = this.activeTime.now();
    this.isLastAnswered = true;
    this.refusedConnections = 0;
  }

  /** Records an answer of another incarnation, which shows that it has ended. */
  recordReplacement(): void {
    this.hasOtherAnswered = true;
  }

  /** Records a call that failed. */
  recordError({kind}: ChicoryspringError): void {
    if (kind === 'worker-unreachable') this.recordRefusal();
    else this.recordFailure();
  }

  /** Records a call without an answer, on a connection that was not refused. */
  recordFailure(): void {
    this.isLastAnswered = false;
    this.refusedConnections = 0;
  }

  /** Records a refused connection. */
  recordRefusal(): void {
    this.isLastAnswered = false;
    this.refusedConnections += 1;
  }
}
