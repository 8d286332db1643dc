import type {ShardRecord} from '../record/shard_record_types.js';

/** One durable value of a shard: changed records and dropped keys. */
export interface JournalEntry {
  /** Unique for each commit, so that a lost reply is resolved by reading. */
  readonly commitId: string;
  /** Sequence of the last journal value that a snapshot contains. */
  readonly sequence: number;
  readonly records: readonly ShardRecord[];
  readonly dropped: readonly string[];
}
