import type {ShardRecord} from '../record/shard_record_types.js';

/** What a shard table is set up with. */
export interface ShardTableOptions {
  readonly entryName: string;
  readonly shardCount: number;
  /** Groups of shards that have one owner; each shard is one by default. */
  readonly ownerGroupCount?: number;
  /** Whether shards stay with a live owner when another is preferred. */
  readonly isOwnerKept?: boolean;
  /** Called with the records of each shard that was gained. */
  readonly onGained: (records: readonly ShardRecord[], shard: number) => void;
  /** Called with the records of each shard that was lost or released. */
  readonly onLost: (records: readonly ShardRecord[], shard: number) => void;
  /** Journal values after which a shard is written as one snapshot. */
  readonly journalLimit?: number;
  /** Source of the jitter of delays, 0 to 1. */
  readonly random?: () => number;
}
