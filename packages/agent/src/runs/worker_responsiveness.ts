import type {Clock} from '@chicoryspring/contracts';
import {ActiveTime} from './active_time.js';

/** Active time without an answer after which a worker gets no new runs or leases. */
const TIMEOUT_MILLISECONDS = 1_500;
/** Consecutive refused connections that show that the worker has exited. */
const MAX_CONNECTION_REFUSALS = 3;

/** Whether one incarnation of a worker answers, as its agent has seen. */
export class WorkerResponsiveness {
  private lastAnswerAt: number;
  private refusedConnections = 0;
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

  /**
   * Whether it has not answered for too long.
   *
   * Time for which the agent was suspended doesn't count: it got no answer
   * then from any worker.
   */
  get isUnresponsive(): boolean {
    const silence = this.activeTime.now() - this.answeredActiveTime;
    return silence >= TIMEOUT_MILLISECONDS;
  }

  /** Whether the last connection was refused. */
  get isRefusing(): boolean {
    return this.refusedConnections > 0;
  }

  /** Whether so many connections were refused that it must have exited. */
  get hasExited(): boolean {
    return this.refusedConnections >= MAX_CONNECTION_REFUSALS;
  }

  /** The background loop that measures the time without an answer. */
  async run(signal: AbortSignal): Promise<void> {
    await this.activeTime.run(signal);
  }

  recordAnswer(): void {
    this.lastAnswerAt = this.clock.now();
    this.answeredActiveTime = this.activeTime.now();
    this.refusedConnections = 0;
  }

  /** Records a refused connection; true if it is the one that shows the exit. */
  recordRefusal(): boolean {
    this.refusedConnections += 1;
    return this.refusedConnections === MAX_CONNECTION_REFUSALS;
  }
}
