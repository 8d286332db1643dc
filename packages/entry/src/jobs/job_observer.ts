import type {Clock, JobRecord} from '@chicoryspring/contracts';
import type {OwnedJob, TimeTotals} from '@chicoryspring/jobs';
import type {Metrics, StateLog} from '@chicoryspring/observability';

/** Logs and counts state changes of jobs and their shards. */
export class JobObserver {
  constructor(
    private readonly clock: Clock,
    private readonly log: StateLog,
    private readonly metrics: Metrics,
  ) {}

  accepted({job}: JobRecord): void {
    this.log.change('job accepted', {jobId: job.id, queue: job.queue});
    this.metrics.increment('entry.jobs', {event: 'accepted'});
  }

  cancelled({key, state}: JobRecord): void {
    this.log.change('job cancelled', {jobId: key, state});
    this.metrics.increment('entry.jobs', {event: state});
  }

  ended(job: OwnedJob): void {
    const now = this.clock.now();
    const summary = job.summary(now);
    const {state, sinceAcceptedMilliseconds} = summary;
    this.log.change('job ended', summary);
    this.metrics.increment('entry.jobs', {event: state});
    this.metrics.timing('entry.job_time', sinceAcceptedMilliseconds, {state});
    this.recordCauses(job.timeAccount.totals(now), summary.isLate);
  }

  shardGained(shard: number, jobs: number): void {
    this.log.change('shard gained', {shard, jobs});
  }

  shardLost(shard: number): void {
    this.log.change('shard lost', {shard});
  }

  waitingTasks(tasks: number): void {
    this.metrics.gauge('entry.waiting_tasks', tasks);
  }

  /** Also sends causes without time, so that their means can be compared. */
  private recordCauses(totals: TimeTotals, isLate: boolean): void {
    for (const [cause, milliseconds] of Object.entries(totals)) {
      const tags = {cause, isLate: String(isLate)};
      this.metrics.timing('entry.job_time_cause', milliseconds, tags);
    }
  }
}
