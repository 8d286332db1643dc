import type {ShardRecord} from '../record/shard_record_types.js';

/** Revisions and journal sequences on which the next write depends. */
interface ShardPosition {
  /** Revision of the owner key; every write is conditional on it. */
  readonly ownerRevision: number;
  /** Revision of the snapshot key; 0 without a snapshot. */
  readonly snapshotRevision: number;
  /** Sequence of the next journal entry. */
  readonly nextSequence: number;
  /** Number of journal entries after the snapshot. */
  readonly journalLength: number;
  /** Encoded size of these entries, in bytes. */
  readonly journalBytes: number;
  /** Sequence of the oldest journal entry that may still be stored. */
  readonly oldestSequence: number;
}

/** The records of a shard, under one ownership of it by this entry. */
export class OwnedShard {
  private readonly records = new Map<string, ShardRecord>();
  private readonly sizes = new Map<string, number>();
  private totalBytes = 0;

  constructor(
    readonly shard: number,
    private position: ShardPosition,
    records: readonly ShardRecord[],
  ) {
    for (const record of records) this.set(record.key, record);
  }

  get ownerRevision(): number {
    return this.position.ownerRevision;
  }

  get snapshotRevision(): number {
    return this.position.snapshotRevision;
  }

  get nextSequence(): number {
    return this.position.nextSequence;
  }

  get journalLength(): number {
    return this.position.journalLength;
  }

  get journalBytes(): number {
    return this.position.journalBytes;
  }

  /** Sequence of the last journal entry that the snapshot contains. */
  get coveredSequence(): number {
    return this.nextSequence - 1 - this.journalLength;
  }

  get oldestSequence(): number {
    return this.position.oldestSequence;
  }

  /** Encoded size of all records, in bytes. */
  get bytes(): number {
    return this.totalBytes;
  }

  get(key: string): ShardRecord | undefined {
    return this.records.get(key);
  }

  /** Replaces a record, or removes it when none is given. */
  set(key: string, record: ShardRecord | undefined): void {
    const size = record ? OwnedShard.sizeOf(record) : 0;
    this.totalBytes += size - (this.sizes.get(key) ?? 0);
    if (record) {
      this.records.set(key, record);
      this.sizes.set(key, size);
    } else {
      this.records.delete(key);
      this.sizes.delete(key);
    }
  }

  /** Advances the journal after an entry of that size was written. */
  recordJournalEntry(bytes: number, oldestSequence: number): void {
    const {position} = this;
    this.position = {
      ...position,
      nextSequence: position.nextSequence + 1,
      journalLength: position.journalLength + 1,
      journalBytes: position.journalBytes + bytes,
      oldestSequence,
    };
  }

  /** Advances the journal after a snapshot was written with an entry. */
  recordSnapshot(revision: number, oldestSequence: number): void {
    this.position = {
      ...this.position,
      snapshotRevision: revision,
      nextSequence: this.position.nextSequence + 1,
      journalLength: 0,
      journalBytes: 0,
      oldestSequence,
    };
  }

  all(): readonly ShardRecord[] {
    return [...this.records.values()];
  }

  /** Encoded size of a record, in bytes. */
  static sizeOf(record: ShardRecord): number {
    return Buffer.byteLength(JSON.stringify(record));
  }
}
