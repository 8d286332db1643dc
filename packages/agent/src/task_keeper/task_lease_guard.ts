import type {Clock} from '@chicoryspring/contracts';
import type {StartPermission} from '@chicoryspring/failure-domains';
import type {EndingReporter} from './ending_reporter.js';
import type {KeptTask} from './kept_task_types.js';
import type {TaskKeeper} from './task_keeper.js';

/** Time between two renewals of the worker's leases. */
const RENEWAL_MILLISECONDS = 1_000;

/** Renews the leases of kept tasks, and ends the tasks that must not go on. */
export class TaskLeaseGuard {
  private readonly ending = new Set<string>();

  constructor(
    private readonly keeper: TaskKeeper,
    private readonly reporter: EndingReporter,
    private readonly permission: StartPermission,
    private readonly clock: Clock,
  ) {}

  /** The task that renews the worker's leases until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const next = this.clock.now() + RENEWAL_MILLISECONDS;
      this.endWhatMustEnd(signal);
      void this.keeper.settleUncertain();
      await this.renew(signal).catch(() => undefined);
      await this.clock.sleepUntil(next, signal);
    }
  }

  /** Saves and stops every task, and tells the owners. */
  async evictAll(signal: AbortSignal): Promise<void> {
    const evicted = this.keeper.kept.map(kept =>
      this.end(kept, 'evicted', signal),
    );
    await Promise.all(evicted);
  }

  private endWhatMustEnd(signal: AbortSignal): void {
    const now = this.clock.now();
    const isOut = this.permission.refusal(now) === 'failure-domain-out';
    for (const kept of this.keeper.kept) {
      if (kept.leaseDeadline <= now) void this.end(kept, 'lapsed', signal);
      else if (isOut) void this.end(kept, 'evicted', signal);
    }
  }

  private async end(
    kept: KeptTask,
    result: 'lapsed' | 'evicted',
    signal: AbortSignal,
  ): Promise<void> {
    const {id} = kept.task;
    if (this.ending.has(id)) return;
    this.ending.add(id);
    try {
      const ending = await this.keeper.end(kept, result);
      if (ending) await this.reporter.report(ending, signal);
    } catch {
      // The next round tries again; the worker's own lease ends it meanwhile.
    } finally {
      this.ending.delete(id);
    }
  }

  private async renew(signal: AbortSignal): Promise<void> {
    for (const ending of await this.keeper.renewAtWorker()) {
      void this.reporter.report(ending, signal);
    }
  }
}
