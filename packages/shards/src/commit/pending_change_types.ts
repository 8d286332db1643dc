import type {ShardRecord} from '../record/shard_record_types.js';

/** A change that waits to become durable. */
export interface PendingChange {
  readonly shard: number;
  readonly key: string;
  /** The new record; absent to drop the key. */
  readonly record: ShardRecord | undefined;
  /** Local instant in milliseconds after which the change is refused. */
  readonly deadline: number;
  readonly resolve: () => void;
  readonly reject: (error: Error) => void;
}
