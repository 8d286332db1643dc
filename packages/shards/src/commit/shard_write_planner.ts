import {randomUUID} from 'node:crypto';
import type {StoreCondition, StoreOperation} from '@chicoryspring/store';
import type {OwnedShard} from '../shard/owned_shard.js';
import {JournalRecordDifference} from '../record/journal_record_difference.js';
import type {JournalRecord} from '../record/journal_record_types.js';
import {ShardKeys} from '../shard/shard_keys.js';
import {JournalEntryCodec} from './journal_entry_codec.js';
import type {PendingChange} from './pending_change_types.js';
import type {ShardWrite} from './shard_write_types.js';

/** Keeps a snapshot below the store's limit of one megabyte for a value. */
const MAX_SNAPSHOT_BYTES = 960_000;

/** Most journal entries after a snapshot, in parts of those deleted at once. */
const MAX_JOURNAL_FACTOR = 16;

/**
 * Plans the store operations that make the changes of shards durable.
 *
 * A snapshot is due once the journal is as large as the shard, so that the
 * snapshots cost no more than the journal does. The entries that it contains are
 * deleted with the next writes, a few at a time.
 */
export class ShardWritePlanner {
  constructor(
    /** Most journal entries that one transaction deletes. */
    private readonly maxDeletedEntries: number,
  ) {}

  /** Plans one write for each shard; one of them may delete journal entries. */
  plan(changes: readonly PendingChange[]): readonly ShardWrite[] {
    const groups = groupByShard(changes);
    const cleaned = [...groups.keys()].find(owned => this.needsCleaning(owned));
    return [...groups].map(([owned, shardChanges]) =>
      owned === cleaned
        ? this.planCleaning(owned, shardChanges)
        : planShard(owned, shardChanges, owned.oldestSequence, undefined),
    );
  }

  private needsCleaning(owned: OwnedShard): boolean {
    const hasCovered = owned.oldestSequence <= owned.coveredSequence;
    return hasCovered || this.isSnapshotDue(owned);
  }

  private isSnapshotDue({journalLength, journalBytes, bytes}: OwnedShard) {
    if (journalLength < this.maxDeletedEntries) return false;
    const isLong = journalLength >= this.maxDeletedEntries * MAX_JOURNAL_FACTOR;
    return isLong || journalBytes >= bytes;
  }

  private planCleaning(
    owned: OwnedShard,
    changes: readonly PendingChange[],
  ): ShardWrite {
    const snapshot = this.isSnapshotDue(owned)
      ? encodeSnapshot(owned, changes)
      : undefined;
    const firstKept =
      snapshot === undefined ? owned.coveredSequence + 1 : owned.nextSequence;
    const oldestSequence = Math.min(
      firstKept,
      owned.oldestSequence + Math.max(1, this.maxDeletedEntries),
    );
    return planShard(owned, changes, oldestSequence, snapshot);
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
  /** Sequence before which journal entries are deleted. */
  oldestSequence: number,
  snapshot: string | undefined,
): ShardWrite {
  const commitId = randomUUID();
  const journalKey = ShardKeys.journal(owned.shard, owned.nextSequence);
  const value = JournalEntryCodec.encode({
    commitId,
    sequence: owned.nextSequence,
    records: changes.flatMap(one => journalRecordOf(owned, one)),
    dropped: changes.flatMap(one => (one.record ? [] : [one.key])),
  });
  return {
    owned,
    changes,
    journalKey,
    commitId,
    journalBytes: Buffer.byteLength(value),
    hasSnapshot: snapshot !== undefined,
    oldestSequence,
    conditions: fencingConditions(owned, journalKey),
    operations: [
      ...snapshotOperations(owned, snapshot),
      ...deletions(owned, oldestSequence),
      {kind: 'put', key: journalKey, value},
    ],
  };
}

/** The changes of one key are written one after the other. */
function journalRecordOf(
  owned: OwnedShard,
  {key, record}: PendingChange,
): readonly JournalRecord[] {
  if (!record) return [];
  return [JournalRecordDifference.between(owned.get(key), record)];
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

function snapshotOperations(
  {shard}: OwnedShard,
  value: string | undefined,
): readonly StoreOperation[] {
  if (value === undefined) return [];
  return [{kind: 'put', key: ShardKeys.snapshot(shard), value}];
}

/** Deletes the journal entries before a sequence. */
function deletions(
  {shard, oldestSequence: first}: OwnedShard,
  end: number,
): readonly StoreOperation[] {
  const sequences = Array.from({length: end - first}, (_, n) => first + n);
  return sequences.map(sequence => ({
    kind: 'delete',
    key: ShardKeys.journal(shard, sequence),
  }));
}
