import type {
  Clock,
  JobRecord,
  SchedulingParameters,
} from '@chicoryspring/contracts';
import {OwnedJob} from '@chicoryspring/jobs';
import type {StateLog} from '@chicoryspring/observability';
import type {ShardTable} from '@chicoryspring/shards';
import {JobLoadQueue} from './job_load_queue.js';
import type {RunIndex} from './run_index.js';

/** Cost of loading a job without a task. */
const MIN_LOAD_COST = 1;

interface OwnedJobDirectoryParts {
  readonly table: () => ShardTable;
  readonly index: RunIndex;
  readonly clock: Clock;
  readonly log: StateLog;
  readonly termsOf: (queue: string) => SchedulingParameters | undefined;
  /** Called once the jobs of gained shards are loaded. */
  readonly onLoaded: () => void;
}

/** The unfinished jobs of the shards that this entry owns, by id. */
export class OwnedJobDirectory {
  private readonly jobs = new Map<string, OwnedJob>();
  /** Local instants at which shards were gained. */
  private readonly gainedAt = new Map<number, number>();
  /** Unfinished jobs that shards had when they were gained. */
  private readonly inheritedIds = new Map<number, ReadonlySet<string>>();
  private readonly loadQueue: JobLoadQueue;

  constructor(private readonly parts: OwnedJobDirectoryParts) {
    const load = (id: string) => this.load(id);
    this.loadQueue = new JobLoadQueue({...parts, load});
  }

  /** Those that are loaded. */
  get all(): readonly OwnedJob[] {
    return [...this.jobs.values()];
  }

  /** Number of the jobs of a queue for which no task has started. */
  pending(queue: string): number {
    const ofQueue = this.all.filter(one => one.record.job.queue === queue);
    const loaded = ofQueue.filter(one => !one.hasStarted).length;
    const waiting = [...this.loadQueue.waiting].filter(
      id => this.unfinishedRecord(id)?.job.queue === queue,
    );
    return loaded + waiting.length;
  }

  /** A job, which is loaded now if it is not yet. */
  get(id: string): OwnedJob | undefined {
    if (this.loadQueue.remove(id)) this.load(id);
    return this.jobs.get(id);
  }

  /** Adds the jobs of a gained shard, some of them in later turns. */
  addAll(shard: number, ids: readonly string[]): void {
    this.gainedAt.set(shard, this.parts.clock.now());
    this.inheritedIds.set(shard, new Set(ids));
    this.loadQueue.add(ids);
  }

  /** Whether earlier owners may have started tasks of the job. */
  isInherited(id: string): boolean {
    const shard = this.parts.table().shardOf(id);
    return this.inheritedIds.get(shard)?.has(id) === true;
  }

  /**
   * Adds the job of the owned record; ignores one that is known or has ended.
   *
   * Without an owned record there is nothing to add: the next owner loads it.
   * `ownedSince` is the local instant of a takeover, else the job was accepted here.
   */
  add(id: string, ownedSince?: number): void {
    const table = this.parts.table();
    const record = this.unfinishedRecord(id);
    const epoch = table.epochOf(table.shardOf(id));
    if (this.jobs.has(id) || epoch === undefined || !record) return;
    const {queue} = record.job;
    const termsOf = () => this.parts.termsOf(queue);
    const job = new OwnedJob(record, epoch, termsOf, ownedSince);
    job.openDueOccurrences(this.parts.clock.now());
    this.jobs.set(id, job);
  }

  /** Removes a job and clears its runs. */
  remove(id: string): void {
    this.loadQueue.remove(id);
    const job = this.jobs.get(id);
    for (const task of job?.tasks ?? []) this.parts.index.set(task, undefined);
    this.jobs.delete(id);
  }

  /** Removes every job of a shard. */
  removeShard(shard: number): void {
    this.inheritedIds.delete(shard);
    for (const id of [...this.jobs.keys(), ...this.loadQueue.waiting]) {
      if (this.parts.table().shardOf(id) === shard) this.remove(id);
    }
  }

  /** Loads a job of a gained shard; returns its cost. */
  private load(id: string): number {
    this.add(id, this.gainedAt.get(this.parts.table().shardOf(id)));
    const job = this.jobs.get(id);
    return MIN_LOAD_COST + (job ? loadCostOf(job) : 0);
  }

  private unfinishedRecord(id: string): JobRecord | undefined {
    const record = this.parts.table().get(id);
    const isUnfinished = record?.kind === 'job' && record.state === 'accepted';
    return isUnfinished ? record : undefined;
  }
}

/** Names in the record that are read, and tasks that are created. */
function loadCostOf({record, tasks}: OwnedJob): number {
  const {done, completed} = record.progress;
  return (done ?? completed?.tasks ?? []).length + tasks.length;
}
