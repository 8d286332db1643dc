import type {Clock} from '@chicoryspring/contracts';
import type {OwnedJob} from '@chicoryspring/jobs';
import type {StateLog} from '@chicoryspring/observability';
import {JobGuard} from '../jobs/job_guard.js';

/** Tells the time accounts of jobs what a placement round has left of them. */
export class JobTimeObserver {
  private readonly guard: JobGuard;

  constructor(
    private readonly clock: Clock,
    log: StateLog,
  ) {
    this.guard = new JobGuard(log, 'job time not accounted');
  }

  /** Updates the accounts of the jobs that have changed since the last round. */
  observe(
    jobs: readonly OwnedJob[],
    hasUnplacedTasks: (job: OwnedJob) => boolean,
  ): void {
    const now = this.clock.now();
    for (const job of jobs) {
      const {timeAccount} = job;
      const isUnplaced = hasUnplacedTasks(job);
      if (!timeAccount.isOutdated(isUnplaced)) continue;
      this.guard.run(job, () =>
        timeAccount.observe(now, {
          hasUnplacedTasks: isUnplaced,
          nextDueInstant: job.nextDueInstant,
        }),
      );
    }
  }
}
