import type {OwnedJob} from '../job/owned_job.js';
import type {OwnedTask} from '../job/owned_task.js';
import {JobClass} from './job_class.js';
import type {JobOrderKey} from './job_order_key_types.js';
import type {JobOrder} from './job_order_types.js';
import {JobWork} from './job_work.js';
import {QueueShares} from './queue_shares.js';
import {spreadWorkersOf} from './spread_workers.js';
import {UnplacedJobs} from './unplaced_jobs.js';

/** Wait without a start after which a job goes first in its priority. */
const AGED_MILLISECONDS = 10_000;

/**
 * By priority, then jobs that can still meet their objective, then by
 * acceptance; what the last round left unplaced makes it finer.
 *
 * Long-running tasks that have to be spread over many workers go first in their
 * class, so that the others are packed beside them: placed last, they would take
 * a worker of their own each, and leave none to best-effort runs.
 *
 * In a priority with unplaced tasks, a job that has waited long goes first, the
 * longest wait first. Then the least work left, the least slack, and steps that
 * others of their tasks have begun. In a class that is equal in these, queues
 * that compete take turns, by the work that each has received lately.
 */
export class ContentionJobOrder implements JobOrder {
  private readonly unplaced = new UnplacedJobs();
  private readonly shares = new QueueShares();

  sort(jobs: readonly OwnedJob[], now: number): readonly OwnedJob[] {
    this.unplaced.beginRound(jobs);
    this.shares.forgetIdle(now);
    const keys = jobs.map(job => this.keyOf(job, now)).sort(compareKeys);
    const isShared = keys.some(key => key.sharingQueue !== undefined);
    const sorted = isShared ? this.withShares(keys, now) : keys;
    return sorted.map(({job}) => job);
  }

  recordStart(job: OwnedJob, tasks: readonly OwnedTask[], now: number): void {
    const work = tasks.reduce((sum, one) => sum + JobWork.of(one), 0);
    this.shares.add(job.record.job.queue, work, now);
    this.unplaced.recordStart(job);
  }

  recordUnplaced(job: OwnedJob, now: number): void {
    this.unplaced.add(job, now);
  }

  private keyOf(job: OwnedJob, now: number): JobOrderKey {
    const {priority} = job.schedulingParameters;
    const slackMilliseconds = job.slackMilliseconds(now);
    const isLate = slackMilliseconds < 0;
    const accepted = job.record.acceptedInstant;
    const queues = this.unplaced.competingQueues(priority);
    let turn = accepted;
    let workLeft = 0;
    let sharingQueue: string | undefined;
    let rank: number;
    const since = this.unplaced.sinceOf(job) ?? now;
    if (queues.size === 0) {
      rank = JobClass.rankOf(priority, false, isLate);
    } else if (now - since >= AGED_MILLISECONDS) {
      rank = JobClass.rankOf(priority, true, false);
      turn = since;
    } else {
      workLeft = JobWork.leftOf(job);
      const isBeginningStep = !JobWork.isEndingStep(job);
      const competing = {workLeft, slackMilliseconds, isBeginningStep};
      rank = JobClass.rankOf(priority, false, isLate, competing);
      if (queues.size > 1) sharingQueue = job.record.job.queue;
    }
    const spreadWorkers = spreadWorkersOf(job);
    return {
      job,
      accepted,
      sharingQueue,
      workLeft,
      rank,
      spreadWorkers,
      turn,
    };
  }

  /**
   * The keys sorted again, with turns by the work that the queue will have
   * received when the jobs of the queue before this one have run.
   */
  private withShares(
    keys: readonly JobOrderKey[],
    now: number,
  ): readonly JobOrderKey[] {
    const received = new Map<string, number>();
    const shared = keys.map(key => {
      const {sharingQueue, workLeft} = key;
      if (sharingQueue === undefined) return key;
      const known = received.get(sharingQueue);
      const turn = known ?? this.shares.workOf(sharingQueue, now);
      received.set(sharingQueue, turn + workLeft);
      return {...key, turn};
    });
    return shared.sort(compareKeys);
  }
}

function compareKeys(left: JobOrderKey, right: JobOrderKey): number {
  return (
    left.rank - right.rank ||
    right.spreadWorkers - left.spreadWorkers ||
    left.turn - right.turn ||
    left.accepted - right.accepted
  );
}
