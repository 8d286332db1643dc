import type {Clock, JobRecord} from '@chicoryspring/contracts';
import type {OwnedJob} from '@chicoryspring/jobs';
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
    const summary = job.summary(this.clock.now());
    const {state, sinceAcceptedMilliseconds} = summary;
    this.log.change('job ended', summary);
    this.metrics.increment('entry.jobs', {event: state});
    this.metrics.timing('entry.job_time', sinceAcceptedMilliseconds, {state});
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
}
