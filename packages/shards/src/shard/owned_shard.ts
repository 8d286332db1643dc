import type {ShardRecord} from '../record/shard_record_types.js';

interface ShardPosition {
  /** Revision of the owner key; every write is conditional on it. */
  readonly ownerRevision: number;
  /** Revision of the snapshot; 0 while there is none. */
  readonly snapshotRevision: number;
  /** Sequence of the next journal value. */
  readonly nextSequence: number;
  /** Journal values since the snapshot. */
  readonly journalLength: number;
  /** Sequence of the oldest journal value that may still be stored. */
  readonly oldestSequence: number;
}

/** The records of one shard that this entry owns. */
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

  get oldestSequence(): number {
    return this.position.oldestSequence;
  }

  /** Size of all records as the store holds them, in bytes. */
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

  /** Takes note of a journal value that was written. */
  journaled(): void {
    const {position} = this;
    this.position = {
      ...position,
      nextSequence: position.nextSequence + 1,
      journalLength: position.journalLength + 1,
    };
  }

  /** Takes note of a snapshot, and of the old journal values it deleted. */
  snapshotted(revision: number, oldestSequence: number): void {
    this.position = {
      ...this.position,
      snapshotRevision: revision,
      nextSequence: this.position.nextSequence + 1,
      journalLength: 0,
      oldestSequence,
    };
  }

  all(): readonly ShardRecord[] {
    return [...this.records.values()];
  }

  /** Size of a record as the store holds it, in bytes. */
  static sizeOf(record: ShardRecord): number {
    return Buffer.byteLength(JSON.stringify(record));
  }
}
