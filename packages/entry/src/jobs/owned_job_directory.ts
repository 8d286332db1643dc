import type {Clock, SchedulingParameters} from '@chicoryspring/contracts';
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

  /** Number of the jobs of a queue for which no task has started. */
  pending(queue: string): number {
    const ofQueue = this.all.filter(one => one.record.job.queue === queue);
    return ofQueue.filter(one => !one.hasStarted).length;
  }

  get(id: string): OwnedJob | undefined {
    return this.jobs.get(id);
  }

  /**
   * Adds the job of the owned record; ignores one that is known or has ended.
   *
   * Without an owned record there is nothing to add: the next owner loads it.
   * `ownedSince` is the local instant of a takeover, else the job was accepted here.
   */
  add(id: string, ownedSince?: number): void {
    const table = this.table();
    const record = table.get(id);
    const epoch = table.epochOf(table.shardOf(id));
    if (this.jobs.has(id) || epoch === undefined) return;
    if (record?.kind !== 'job' || record.state !== 'accepted') return;
    const {queue} = record.job;
    const termsOf = () => this.termsOf(queue);
    const job = new OwnedJob(record, epoch, termsOf, ownedSince);
    job.openDueOccurrences(this.clock.now());
    this.jobs.set(id, job);
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
