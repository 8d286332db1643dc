import {toChicoryspringError} from '@chicoryspring/contracts';
import type {OwnedJob} from '@chicoryspring/jobs';
import type {StateLog} from '@chicoryspring/observability';

/** Keeps an unexpected error of one job from the others. */
export class JobGuard {
  /** Jobs whose error is logged already. */
  private readonly logged = new WeakSet<OwnedJob>();

  constructor(
    private readonly log: StateLog,
    private readonly event = 'job not placed',
  ) {}

  /** The result of an action on a job; undefined if it fails. */
  run<T>(job: OwnedJob, action: () => T): T | undefined {
    try {
      return action();
    } catch (thrown) {
      this.logOnce(job, thrown);
      return undefined;
    }
  }

  private logOnce(job: OwnedJob, thrown: unknown): void {
    if (this.logged.has(job)) return;
    this.logged.add(job);
    const {kind, message} = toChicoryspringError(thrown);
    const {stack} = thrown instanceof Error ? thrown : new Error(message);
    this.log.change(this.event, {jobId: job.id, kind, message, stack});
  }
}
