import type {RunOrder} from '@chicoryspring/contracts';
import type {
  LeaseRenewal,
  LeaseRenewalAnswer,
  RunStartAnswer,
  RunWorkerClient,
} from '@chicoryspring/agent';
import {ProcessSuspension} from './process_suspension.js';

/**
 * The calls of one agent process to its worker, until the process is killed. It
 * hears the answers late that arrive while it is suspended.
 */
export class KillableWorkerClient implements RunWorkerClient {
  constructor(
    private readonly worker: RunWorkerClient,
    private readonly isKilled: () => boolean,
    private readonly suspension = new ProcessSuspension(),
  ) {}

  async start(
    order: RunOrder,
    fence: number,
    leaseMilliseconds: number,
  ): Promise<RunStartAnswer> {
    return await this.call(() =>
      this.worker.start(order, fence, leaseMilliseconds),
    );
  }

  async stop(task: string, run: number, fence: number): Promise<void> {
    await this.call(() => this.worker.stop(task, run, fence));
  }

  async renewLease(renewal: LeaseRenewal): Promise<LeaseRenewalAnswer> {
    return await this.call(() => this.worker.renewLease(renewal));
  }

  async pace(
    task: string,
    run: number,
    percent: number,
    fence: number,
  ): Promise<void> {
    await this.call(() => this.worker.pace(task, run, percent, fence));
  }

  async close(): Promise<void> {
    await this.worker.close();
  }

  /** A process that was killed sends nothing and gets no answer. */
  private async call<T>(send: () => Promise<T>): Promise<T> {
    const never = new Promise<never>(() => undefined);
    if (this.isKilled()) return await never;
    try {
      const answer = await send();
      if (this.suspension.isSuspended) await this.suspension.awake();
      return this.isKilled() ? await never : answer;
    } catch (thrown) {
      if (this.suspension.isSuspended) await this.suspension.awake();
      if (this.isKilled()) return await never;
      throw thrown;
    }
  }
}
