import type {Clock} from '@chicoryspring/contracts';
import type {StartPermission} from '@chicoryspring/failure-domains';
import type {EndingReporter} from './ending_reporter.js';
import type {ManagedTask} from './managed_task_types.js';
import type {TaskManager} from './task_manager.js';

/** Time between two renewals of the worker leases. */
const RENEWAL_INTERVAL_MILLISECONDS = 1_000;

/**
 * Renews the worker leases of managed tasks.
 *
 * It also ends tasks whose owner lease has expired, and evicts all tasks while
 * the failure domain is out of service.
 */
export class TaskLeaseGuard {
  private readonly endingTaskIds = new Set<string>();

  constructor(
    private readonly manager: TaskManager,
    private readonly reporter: EndingReporter,
    private readonly permission: StartPermission,
    private readonly clock: Clock,
  ) {}

  /** The background loop, which runs until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const next = this.clock.now() + RENEWAL_INTERVAL_MILLISECONDS;
      this.endExpiredAndEvicted(signal);
      void this.manager.stopUncertain();
      // The next round retries; meanwhile a worker lease may expire.
      await this.renew(signal).catch(() => undefined);
      await this.clock.sleepUntil(next, signal);
    }
  }

  /** Stops every task with a checkpoint, and reports the endings. */
  async evictAll(signal: AbortSignal): Promise<void> {
    const evicted = this.manager.active.map(managed =>
      this.end(managed, 'evicted', signal),
    );
    await Promise.all(evicted);
  }

  private endExpiredAndEvicted(signal: AbortSignal): void {
    const now = this.clock.now();
    const isOut = this.permission.refusal(now) === 'failure-domain-out';
    for (const managed of this.manager.active) {
      if (managed.leaseDeadline <= now)
        void this.end(managed, 'lapsed', signal);
      else if (isOut) void this.end(managed, 'evicted', signal);
    }
  }

  private async end(
    managed: ManagedTask,
    result: 'lapsed' | 'evicted',
    signal: AbortSignal,
  ): Promise<void> {
    const {id} = managed.task;
    if (this.endingTaskIds.has(id)) return;
    this.endingTaskIds.add(id);
    try {
      const ending = await this.manager.end(managed, result);
      if (ending) await this.reporter.report(ending, signal);
    } catch {
      // The next round retries; the worker's own lease ends the task meanwhile.
    } finally {
      this.endingTaskIds.delete(id);
    }
  }

  private async renew(signal: AbortSignal): Promise<void> {
    for (const ending of this.manager.takeLostStarts()) {
      void this.reporter.report(ending, signal);
    }
    for (const managed of await this.manager.renewWorkerLeases()) {
      void this.reportMissing(managed, signal);
    }
  }

  private async reportMissing(
    managed: ManagedTask,
    signal: AbortSignal,
  ): Promise<void> {
    try {
      const ending = await this.manager.recordMissing(managed);
      if (ending) await this.reporter.report(ending, signal);
    } catch {
      // The next round finds it missing again.
    }
  }
}
