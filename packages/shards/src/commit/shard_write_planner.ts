import {randomUUID} from 'node:crypto';
import type {StoreCondition, StoreOperation} from '@chicoryspring/store';
import type {OwnedShard} from '../shard/owned_shard.js';
import {ShardKeys} from '../shard/shard_keys.js';
import {JournalEntryCodec} from './journal_entry_codec.js';
import type {JournalEntry} from './journal_entry_types.js';
import type {PendingChange} from './pending_change_types.js';
import type {ShardWrite} from './shard_write_types.js';

/** Keeps a snapshot below the store's limit of one megabyte for a value. */
const MAX_SNAPSHOT_BYTES = 960_000;

/** Plans the store operations that make the changes of shards durable. */
export class ShardWritePlanner {
  constructor(
    /** Length of the journal at which a snapshot is written. */
    private readonly maxJournalLength: number,
  ) {}

  /** Plans one write for each shard; at most one of them has a snapshot. */
  plan(changes: readonly PendingChange[]): readonly ShardWrite[] {
    const writes: ShardWrite[] = [];
    const maxDeleted = Math.max(1, this.maxJournalLength);
    for (const [owned, shardChanges] of groupByShard(changes)) {
      const hasSnapshot = writes.some(
        write => write.oldestSequence !== undefined,
      );
      const isSnapshotDue =
        owned.journalLength >= this.maxJournalLength && !hasSnapshot;
      writes.push(
        planShard(owned, shardChanges, isSnapshotDue ? maxDeleted : 0),
      );
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
  /** Maximum old journal entries that the snapshot deletes; 0: no snapshot. */
  maxDeleted: number,
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
  const snapshot = maxDeleted > 0 ? encodeSnapshot(owned, changes) : undefined;
  const oldestSequence = Math.min(
    owned.nextSequence,
    owned.oldestSequence + maxDeleted,
  );
  return {
    owned,
    changes,
    journalKey,
    commitId,
    ...(snapshot === undefined ? {} : {oldestSequence}),
    conditions: fencingConditions(owned, journalKey),
    operations:
      snapshot === undefined
        ? [journal]
        : [...snapshotOperations(owned, snapshot, oldestSequence), journal],
  };
}

/**
 * The condition on the owner key fences previous owners. Those on the
 * snapshot's revision and on the absent journal key fence a delayed earlier
 * attempt of this owner.
 */
function fencingConditions(
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

/** Encodes the whole shard after the changes; undefined if it is too large. */
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
  const isTooLarge = Buffer.byteLength(value) > MAX_SNAPSHOT_BYTES;
  return isTooLarge ? undefined : value;
}

/** Writes the snapshot and deletes old journal entries. */
function snapshotOperations(
  owned: OwnedShard,
  value: string,
  oldestSequence: number,
): readonly StoreOperation[] {
  const {shard} = owned;
  const operations: StoreOperation[] = [
    {kind: 'put', key: ShardKeys.snapshot(shard), value},
  ];
  for (
    let sequence = owned.oldestSequence;
    sequence < oldestSequence;
    sequence += 1
  ) {
    operations.push({kind: 'delete', key: ShardKeys.journal(shard, sequence)});
  }
  return operations;
}
