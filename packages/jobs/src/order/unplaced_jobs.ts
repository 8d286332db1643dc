import type {OwnedJob} from '../job/owned_job.js';

const NO_QUEUES: ReadonlySet<string> = new Set();

type QueuesByPriority = ReadonlyMap<number, ReadonlySet<string>>;

/** The jobs that found no worker, and the queues that compete for workers. */
export class UnplacedJobs {
  /** Local instants since which jobs wait with no task started. */
  private since = new Map<OwnedJob, number>();
  private lastRound: QueuesByPriority = new Map();
  private thisRound = new Map<number, Set<string>>();

  /** Begins a round; forgets the jobs that have nothing due. */
  beginRound(due: readonly OwnedJob[]): void {
    this.lastRound = this.thisRound;
    this.thisRound = new Map();
    if (this.since.size === 0) return;
    const known = this.since;
    this.since = new Map();
    for (const job of due) {
      const since = known.get(job);
      if (since !== undefined) this.since.set(job, since);
    }
  }

  add(job: OwnedJob, now: number): void {
    const {priority} = job.schedulingParameters;
    const queues = this.thisRound.get(priority) ?? new Set();
    this.thisRound.set(priority, queues.add(job.record.job.queue));
    if (!this.since.has(job)) this.since.set(job, now);
  }

  /** The job has got a worker, so its wait starts again. */
  recordStart(job: OwnedJob): void {
    this.since.delete(job);
  }

  sinceOf(job: OwnedJob): number | undefined {
    return this.since.get(job);
  }

  /** Queues of which the last round left tasks of the priority unplaced. */
  competingQueues(priority: number): ReadonlySet<string> {
    return this.lastRound.get(priority) ?? NO_QUEUES;
  }
}
