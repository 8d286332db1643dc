import type {ShardRecord} from '../record/shard_record_types.js';
import type {OwnedShard} from '../shard/owned_shard.js';

/** A change that waits to become durable. */
export interface PendingChange {
  /** The shard as it was owned when the change was computed. */
  readonly owned: OwnedShard;
  readonly key: string;
  /** The new record; absent to drop the key. */
  readonly record: ShardRecord | undefined;
  /** Size of the new record as the store holds it, in bytes. */
  readonly bytes: number;
  /** Local instant in milliseconds after which the change is refused. */
  readonly deadline: number;
  /** The change is durable. */
  readonly resolve: () => void;
  /** The change is refused, or nobody will learn what became of it. */
  readonly reject: (error: Error) => void;
  /** Answers the caller at its deadline while the write is in progress. */
  readonly answerLate: (error: Error) => void;
}
