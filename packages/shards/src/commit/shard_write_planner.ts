import {randomUUID} from 'node:crypto';
import type {StoreCondition, StoreOperation} from '@chicoryspring/store';
import type {OwnedShard} from '../shard/owned_shard.js';
import {ShardKeys} from '../shard/shard_keys.js';
import {JournalEntryCodec} from './journal_entry_codec.js';
import type {JournalEntry} from './journal_entry_types.js';
import type {PendingChange} from './pending_change_types.js';
import type {ShardWrite} from './shard_write_types.js';

/** Largest snapshot that is written, below the megabyte of the store. */
const SNAPSHOT_LIMIT_BYTES = 960_000;

/** Plans the writes that make changes of shards durable. */
export class ShardWritePlanner {
  constructor(
    /** Journal values after which a shard is written as one snapshot. */
    private readonly journalLimit: number,
  ) {}

  /** One write for each shard, with at most one snapshot among them. */
  plan(changes: readonly PendingChange[]): readonly ShardWrite[] {
    const writes: ShardWrite[] = [];
    const mostDeleted = Math.max(1, this.journalLimit);
    for (const [owned, some] of groupByShard(changes)) {
      const hasSnapshot = writes.some(
        write => write.oldestSequence !== undefined,
      );
      const isDue = owned.journalLength >= this.journalLimit && !hasSnapshot;
      writes.push(planShard(owned, some, isDue ? mostDeleted : 0));
    }
    return writes;
  }
}

function groupByShard(
  changes: readonly PendingChange[],
): ReadonlyMap<OwnedShard, readonly PendingChange[]> {
  const shards = new Set(changes.map(change => change.owned));
  return new Map(
    [...shards].map(owned => [
      owned,
      changes.filter(change => change.owned === owned),
    ]),
  );
}

function planShard(
  owned: OwnedShard,
  changes: readonly PendingChange[],
  /** Old journal values that a snapshot deletes; 0 for no snapshot. */
  mostDeleted: number,
): ShardWrite {
  const commitId = randomUUID();
  const journalKey = ShardKeys.journal(owned.shard, owned.nextSequence);
  const entry: JournalEntry = {
    commitId,
    sequence: owned.nextSequence,
    records: changes.flatMap(one => (one.record ? [one.record] : [])),
    dropped: changes.flatMap(one => (one.record ? [] : [one.key])),
  };
  const journal: StoreOperation = {
    kind: 'put',
    key: journalKey,
    value: JournalEntryCodec.encode(entry),
  };
  const snapshot = mostDeleted > 0 ? encodeSnapshot(owned, changes) : undefined;
  const oldestSequence = Math.min(
    owned.nextSequence,
    owned.oldestSequence + mostDeleted,
  );
  return {
    owned,
    changes,
    journalKey,
    commitId,
    ...(snapshot === undefined ? {} : {oldestSequence}),
    conditions: conditionsOf(owned, journalKey),
    operations:
      snapshot === undefined
        ? [journal]
        : [...snapshotOperations(owned, snapshot, oldestSequence), journal],
  };
}

/**
 * The owner key fences earlier owners. The snapshot's revision and the absent
 * journal key fence an earlier try of this owner that arrives late.
 */
function conditionsOf(
  owned: OwnedShard,
  journalKey: string,
): readonly StoreCondition[] {
  const {shard, ownerRevision, snapshotRevision} = owned;
  return [
    {key: ShardKeys.owner(shard), revision: ownerRevision},
    {key: ShardKeys.snapshot(shard), revision: snapshotRevision},
    {key: journalKey, revision: 0},
  ];
}

/** The whole shard after the changes; undefined when it is too large. */
function encodeSnapshot(
  owned: OwnedShard,
  changes: readonly PendingChange[],
): string | undefined {
  const records = new Map(owned.all().map(record => [record.key, record]));
  for (const {key, record} of changes) {
    if (record) records.set(key, record);
    else records.delete(key);
  }
  const value = JournalEntryCodec.encode({
    commitId: '',
    sequence: owned.nextSequence - 1,
    records: [...records.values()],
    dropped: [],
  });
  const isTooLarge = Buffer.byteLength(value) > SNAPSHOT_LIMIT_BYTES;
  return isTooLarge ? undefined : value;
}

/** Writes the whole shard and drops old journal values. */
function snapshotOperations(
  owned: OwnedShard,
  value: string,
  oldestSequence: number,
): readonly StoreOperation[] {
  const {shard} = owned;
  const operations: StoreOperation[] = [
    {kind: 'put', key: ShardKeys.snapshot(shard), value},
  ];
  for (let old = owned.oldestSequence; old < oldestSequence; old += 1) {
    operations.push({kind: 'delete', key: ShardKeys.journal(shard, old)});
  }
  return operations;
}
