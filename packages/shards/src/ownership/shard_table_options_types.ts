import type {ShardRecord} from '../record/shard_record_types.js';

/** Options of a shard table. */
export interface ShardTableOptions {
  readonly entryName: string;
  readonly shardCount: number;
  /** Number of groups of shards with a common owner; default: one a shard. */
  readonly ownerGroupCount?: number;
  /** Whether a live owner keeps its shards when another entry is preferred. */
  readonly isOwnerKept?: boolean;
  /** Called with the records of a shard after it was acquired and loaded. */
  readonly onGained: (records: readonly ShardRecord[], shard: number) => void;
  /** Called with the records of a shard after it was lost or released. */
  readonly onLost: (records: readonly ShardRecord[], shard: number) => void;
  /** Length of the journal at which a snapshot is written. */
  readonly maxJournalLength?: number;
  /** Source of jitter for delays, from 0 to 1. */
  readonly random?: () => number;
}
