import {randomUUID} from 'node:crypto';
import {ChicoryspringError, Wakeup, type Clock} from '@chicoryspring/contracts';
import type {Store, StoreCondition, StoreOperation} from '@chicoryspring/store';
import type {OwnedShardStore} from '../shard/owned_shard_store.js';
import {ShardKeys} from '../shard/shard_keys.js';
import {JournalEntryCodec} from './journal_entry_codec.js';
import type {PendingChange} from './pending_change_types.js';

/** Journal values after which a shard is written as one snapshot. */
const JOURNAL_LIMIT = 64;
/** Most changes in one write of the store. */
const BATCH_LIMIT = 256;
/** Delay before a write that failed is tried again. */
const RETRY_MILLISECONDS = 200;

interface ShardWrite {
  readonly shard: OwnedShardStore;
  readonly changes: readonly PendingChange[];
  readonly journalKey: string;
  readonly commitId: string;
  readonly operations: readonly StoreOperation[];
}

/**
 * Makes changes durable, many in one write of the store.
 *
 * One task drains the queue at a bounded rate, so the store's writes follow
 * the number of entries and not the number of changes.
 */
export class CommitWriter {
  private readonly wakeup = new Wakeup();
  private readonly stopping = new AbortController();
  private queue: readonly PendingChange[] = [];

  constructor(
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly shards: ReadonlyMap<number, OwnedShardStore>,
    /** Least time between two writes, in milliseconds. */
    private readonly intervalMilliseconds: () => number,
    private readonly onOwnershipLost: (shard: number) => void,
  ) {}

  /** Queues a change; its promise settles once the change is durable. */
  add(change: PendingChange): void {
    this.queue = [...this.queue, change];
    this.wakeup.notify();
  }

  /** The task of the writer. */
  async run(): Promise<void> {
    while (!this.stopping.signal.aborted) {
      await this.wakeup.wait(this.stopping.signal);
      const next = this.clock.now() + this.intervalMilliseconds();
      while (this.queue.length > 0) await this.writeBatch();
      await this.clock.sleepUntil(next, this.stopping.signal);
    }
  }

  stop(): void {
    this.stopping.abort();
  }

  private async writeBatch(): Promise<void> {
    const batch = this.takeBatch();
    const writes = this.plan(batch);
    if (writes.length === 0) return;
    for (;;) {
      const outcome = await this.tryWrite(writes);
      if (outcome === 'applied') return this.settle(writes);
      if (outcome === 'lost') return await this.writeSingly(writes);
      if (this.stopping.signal.aborted) return this.abandon(writes);
      this.refuseExpired();
      await this.clock.sleepUntil(this.clock.now() + RETRY_MILLISECONDS);
    }
  }

  private takeBatch(): readonly PendingChange[] {
    const batch = this.queue.slice(0, BATCH_LIMIT);
    this.queue = this.queue.slice(BATCH_LIMIT);
    return batch;
  }

  private refuseExpired(): void {
    const now = this.clock.now();
    const expired = this.queue.filter(change => change.deadline <= now);
    this.queue = this.queue.filter(change => change.deadline > now);
    for (const change of expired) {
      const message = 'the store did not take the write in time';
      change.reject(new ChicoryspringError('store-unavailable', message));
    }
  }

  private plan(batch: readonly PendingChange[]): readonly ShardWrite[] {
    const writes: ShardWrite[] = [];
    for (const [shardNumber, changes] of groupByShard(batch)) {
      const shard = this.shards.get(shardNumber);
      if (shard) writes.push(planShard(shard, changes));
      else refuseUnowned(changes);
    }
    return writes;
  }

  private async tryWrite(
    writes: readonly ShardWrite[],
  ): Promise<'applied' | 'lost' | 'retry'> {
    try {
      const conditions = writes.flatMap(conditionsOf);
      const operations = writes.flatMap(write => write.operations);
      const outcome = await this.store.transact(conditions, operations);
      if (outcome.succeeded) return 'applied';
      return (await this.wasApplied(writes[0]!)) ? 'applied' : 'lost';
    } catch {
      return 'retry';
    }
  }

  /** Whether an earlier try, whose reply was lost, took effect. */
  private async wasApplied(write: ShardWrite): Promise<boolean> {
    const range = await this.store.readPrefix(write.journalKey);
    const value = range.values[0]?.value;
    if (value === undefined) return false;
    return JournalEntryCodec.decode(value).commitId === write.commitId;
  }

  /** Finds the shard that was lost; the others are written all the same. */
  private async writeSingly(writes: readonly ShardWrite[]): Promise<void> {
    for (const write of writes) {
      let outcome = await this.tryWrite([write]);
      while (outcome === 'retry' && !this.stopping.signal.aborted) {
        await this.clock.sleepUntil(this.clock.now() + RETRY_MILLISECONDS);
        outcome = await this.tryWrite([write]);
      }
      if (outcome === 'applied') this.settle([write]);
      else this.lose(write);
    }
  }

  private lose(write: ShardWrite): void {
    this.onOwnershipLost(write.shard.shard);
    refuseUnowned(write.changes);
  }

  private abandon(writes: readonly ShardWrite[]): void {
    const error = new ChicoryspringError('store-outcome-unknown', 'stopped');
    for (const write of writes) {
      for (const change of write.changes) change.reject(error);
    }
  }

  private settle(writes: readonly ShardWrite[]): void {
    for (const write of writes) {
      const {shard} = write;
      shard.nextSequence += 1;
      const isSnapshot = write.operations.length > 1;
      shard.journalLength = isSnapshot ? 0 : shard.journalLength + 1;
      for (const change of write.changes) shard.set(change.key, change.record);
      for (const change of write.changes) change.resolve();
    }
  }
}

function groupByShard(
  batch: readonly PendingChange[],
): ReadonlyMap<number, readonly PendingChange[]> {
  const groups = new Map<number, readonly PendingChange[]>();
  for (const change of batch) {
    groups.set(change.shard, [...(groups.get(change.shard) ?? []), change]);
  }
  return groups;
}

function planShard(
  shard: OwnedShardStore,
  changes: readonly PendingChange[],
): ShardWrite {
  const commitId = randomUUID();
  const sequence = shard.nextSequence;
  const journalKey = ShardKeys.journal(shard.shard, sequence);
  const written = changes.flatMap(one => (one.record ? [one.record] : []));
  const dropped = changes.flatMap(one => (one.record ? [] : [one.key]));
  const entry = {commitId, sequence, records: written, dropped};
  const put: StoreOperation = {
    kind: 'put',
    key: journalKey,
    value: JournalEntryCodec.encode(entry),
  };
  const operations =
    shard.journalLength < JOURNAL_LIMIT
      ? [put]
      : snapshotOperations(shard, changes, put);
  return {shard, changes, journalKey, commitId, operations};
}

/** Writes the whole shard and a marker value, and drops the old journal. */
function snapshotOperations(
  shard: OwnedShardStore,
  changes: readonly PendingChange[],
  marker: StoreOperation,
): readonly StoreOperation[] {
  const records = new Map(shard.all().map(record => [record.key, record]));
  for (const {key, record} of changes) {
    if (record) records.set(key, record);
    else records.delete(key);
  }
  const entry = {
    commitId: '',
    sequence: shard.nextSequence - 1,
    records: [...records.values()],
    dropped: [],
  };
  return [
    {
      kind: 'delete-range',
      from: ShardKeys.journalPrefix(shard.shard),
      end: ShardKeys.journal(shard.shard, shard.nextSequence),
    },
    {
      kind: 'put',
      key: ShardKeys.snapshot(shard.shard),
      value: JournalEntryCodec.encode(entry),
    },
    marker,
  ];
}

function conditionsOf(write: ShardWrite): readonly StoreCondition[] {
  const {shard} = write;
  return [
    {key: ShardKeys.owner(shard.shard), revision: shard.ownerRevision},
    {key: write.journalKey, revision: 0},
  ];
}

function refuseUnowned(changes: readonly PendingChange[]): void {
  for (const change of changes) {
    const message = `shard ${change.shard} has another owner`;
    change.reject(new ChicoryspringError('shard-unowned', message));
  }
}
