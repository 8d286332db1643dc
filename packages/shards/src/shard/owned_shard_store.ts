import type {ShardRecord} from '../record/shard_record_types.js';

/** The records of one shard that this entry owns. */
export class OwnedShardStore {
  private readonly records = new Map<string, ShardRecord>();

  constructor(
    readonly shard: number,
    /** Revision of the owner key; every write is conditional on it. */
    readonly ownerRevision: number,
    /** Sequence of the next journal value. */
    public nextSequence: number,
    /** Journal values since the snapshot. */
    public journalLength: number,
    records: readonly ShardRecord[],
  ) {
    for (const record of records) this.records.set(record.key, record);
  }

  get(key: string): ShardRecord | undefined {
    return this.records.get(key);
  }

  /** Replaces a record, or removes it when none is given. */
  set(key: string, record: ShardRecord | undefined): void {
    if (record) this.records.set(key, record);
    else this.records.delete(key);
  }

  all(): readonly ShardRecord[] {
    return [...this.records.values()];
  }
}
