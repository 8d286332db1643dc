import {
  ChicoryspringError,
  toChicoryspringError,
  type Clock,
  type Job,
  type JobRecord,
  type JobState,
  type SchedulingParameters,
} from '@chicoryspring/contracts';
import type {OwnedJob} from '@chicoryspring/jobs';
import type {StateLog} from '@chicoryspring/observability';
import type {ShardRecord, ShardTable} from '@chicoryspring/shards';

/** Time for which a job in a terminal state can still be queried. */
const RETENTION_MILLISECONDS = 180_000;
const COMMIT_TIMEOUT_MILLISECONDS = 10_000;
const RETRY_INTERVAL_MILLISECONDS = 200;

const NO_PROGRESS = {done: [], failedRuns: {}, checkpoints: {}};

type OnDurable = (record: JobRecord) => void;

/** The durable records of jobs. */
export class JobRecords {
  /** Jobs with a write in progress, and the callbacks of the next write. */
  private readonly pendingWrites = new Map<OwnedJob, readonly OnDurable[]>();

  constructor(
    private readonly table: () => ShardTable,
    private readonly clock: Clock,
    private readonly log: StateLog,
  ) {}

  /** The record; undefined when there is no such job. */
  get(id: string): JobRecord | undefined {
    if (!this.table().owns(id)) {
      const message = 'the shard of the job has another owner';
      throw new ChicoryspringError('shard-unowned', message);
    }
    const record = this.table().get(id);
    return record?.kind === 'job' ? record : undefined;
  }

  /** The record; throws `unknown-object` when there is no such job. */
  require(id: string): JobRecord {
    return requireJob(this.get(id));
  }

  /** Makes a job durable; idempotent by the job's id. */
  async accept(
    job: Job,
    terms: SchedulingParameters,
    deadline: number,
  ): Promise<JobRecord> {
    const newRecord: JobRecord = {
      kind: 'job',
      key: job.id,
      job,
      terms,
      state: 'accepted',
      acceptedInstant: Math.round(this.clock.now()),
      progress: NO_PROGRESS,
    };
    const record = await this.table().update(
      job.id,
      current => current ?? newRecord,
      deadline,
    );
    return requireJob(record);
  }

  /**
   * The record once no write of it is in progress; undefined when there is none,
   * or this entry has lost the shard.
   */
  async writtenRecord(id: string): Promise<JobRecord | undefined> {
    const deadline = this.clock.now() + COMMIT_TIMEOUT_MILLISECONDS;
    const unchanged = (current: ShardRecord | undefined) => current;
    const written = this.table().update(id, unchanged, deadline);
    // Fails if the shard has another owner, which loads the record.
    const record = await written.catch(() => undefined);
    return record?.kind === 'job' ? record : undefined;
  }

  /** Makes the cancellation of a job durable. */
  async cancel(id: string): Promise<JobRecord> {
    const deadline = this.clock.now() + COMMIT_TIMEOUT_MILLISECONDS;
    const record = await this.table().update(
      id,
      current =>
        current?.kind === 'job' && current.state === 'accepted'
          ? this.withTerminalState(current, 'cancelled')
          : current,
      deadline,
    );
    return requireJob(record);
  }

  /**
   * Makes the progress of a job durable, then calls back with the record as it
   * was written; the job may have progressed further since.
   *
   * Does not call back if this entry loses the shard before that.
   */
  persist(job: OwnedJob, onDurable: OnDurable): void {
    const waiting = this.pendingWrites.get(job);
    if (waiting) {
      this.pendingWrites.set(job, [...waiting, onDurable]);
      return;
    }
    this.pendingWrites.set(job, [onDurable]);
    void this.write(job);
  }

  /** Writes the progress of one job until no callback is pending. */
  private async write(job: OwnedJob): Promise<void> {
    for (;;) {
      const callbacks = this.pendingWrites.get(job) ?? [];
      if (callbacks.length === 0) break;
      this.pendingWrites.set(job, []);
      const outcome = await this.tryWrite(job);
      if (outcome === 'lost') break;
      if (outcome === 'failed') {
        const later = this.pendingWrites.get(job) ?? [];
        this.pendingWrites.set(job, [...callbacks, ...later]);
        continue;
      }
      job.removeEnded(outcome.progress);
      for (const call of callbacks) call(outcome);
    }
    this.pendingWrites.delete(job);
  }

  /** Writes once; `lost` when this entry no longer owns the shard. */
  private async tryWrite(
    job: OwnedJob,
  ): Promise<JobRecord | 'failed' | 'lost'> {
    const deadline = this.clock.now() + COMMIT_TIMEOUT_MILLISECONDS;
    try {
      const record = await this.table().update(
        job.id,
        current => this.withProgress(job, current),
        deadline,
      );
      return requireJob(record);
    } catch (thrown) {
      const {kind, message} = toChicoryspringError(thrown);
      this.log.change('progress not written', {jobId: job.id, kind, message});
      if (kind === 'shard-unowned' || kind === 'unknown-object') return 'lost';
      await this.clock.sleepUntil(
        this.clock.now() + RETRY_INTERVAL_MILLISECONDS,
      );
      return this.table().owns(job.id) ? 'failed' : 'lost';
    }
  }

  private withProgress<Current>(
    job: OwnedJob,
    current: Current | JobRecord,
  ): Current | JobRecord {
    if (this.table().epochOf(this.table().shardOf(job.id)) !== job.epoch) {
      const message = 'the job was loaded under an earlier ownership';
      throw new ChicoryspringError('shard-unowned', message);
    }
    const record = current as JobRecord | undefined;
    if (record?.kind !== 'job' || record.state !== 'accepted') return current;
    const {outcome, progress} = job;
    const next = {...record, progress};
    return outcome === 'accepted'
      ? next
      : this.withTerminalState(next, outcome);
  }

  private withTerminalState(record: JobRecord, state: JobState): JobRecord {
    const retentionDeadline = this.clock.now() + RETENTION_MILLISECONDS;
    const job = withoutDetails(record.job);
    return {...record, job, progress: NO_PROGRESS, state, retentionDeadline};
  }
}

/** What is kept of an ended job; a stored job has one step at least. */
function withoutDetails(job: Job): Job {
  return {...job, spec: '', steps: job.steps.slice(0, 1)};
}

function requireJob(record: {readonly kind: string} | undefined): JobRecord {
  if (record?.kind === 'job') return record as JobRecord;
  throw new ChicoryspringError('unknown-object', 'there is no such job');
}
