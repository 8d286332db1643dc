import type {
  Clock,
  JobRecord,
  SchedulingParameters,
} from '@chicoryspring/contracts';
import {OwnedJob} from '@chicoryspring/jobs';
import type {ShardTable} from '@chicoryspring/shards';
import type {RunIndex} from './run_index.js';

/** The unfinished jobs of the shards that this entry owns, by id. */
export class OwnedJobDirectory {
  private readonly jobs = new Map<string, OwnedJob>();

  constructor(
    private readonly table: () => ShardTable,
    private readonly index: RunIndex,
    private readonly clock: Clock,
    private readonly termsOf: (
      queue: string,
    ) => SchedulingParameters | undefined,
  ) {}

  get all(): readonly OwnedJob[] {
    return [...this.jobs.values()];
  }

  get(id: string): OwnedJob | undefined {
    return this.jobs.get(id);
  }

  /** Adds the job of a record; ignores one that is known or has ended. */
  add(record: JobRecord): void {
    if (this.jobs.has(record.key) || record.state !== 'accepted') return;
    const table = this.table();
    const epoch = table.epochOf(table.shardOf(record.key)) ?? 0;
    const {queue} = record.job;
    const job = new OwnedJob(record, epoch, () => this.termsOf(queue));
    job.openDueOccurrences(this.clock.now());
    this.jobs.set(record.key, job);
  }

  /** Removes a job and clears its runs. */
  remove(id: string): void {
    const job = this.jobs.get(id);
    for (const task of job?.tasks ?? []) this.index.set(task, undefined);
    this.jobs.delete(id);
  }

  /** Removes every job of a shard. */
  removeShard(shard: number): void {
    for (const id of [...this.jobs.keys()]) {
      if (this.table().shardOf(id) === shard) this.remove(id);
    }
  }
}
