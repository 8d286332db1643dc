import type {
  ClaimRecord,
  JobRecord,
  TaskRecord,
} from '@chicoryspring/contracts';

/** A durable record of a shard. */
export type ShardRecord = TaskRecord | ClaimRecord | JobRecord;
