import type {ShardRecord} from '../record/shard_record_types.js';
import type {OwnedShard} from '../shard/owned_shard.js';

/** A change of one record that is not yet durable. */
export interface PendingChange {
  /** The ownership of the shard under which the change was computed. */
  readonly owned: OwnedShard;
  readonly key: string;
  /** The new record; undefined deletes the key. */
  readonly record: ShardRecord | undefined;
  /** Encoded size of the new record, in bytes. */
  readonly bytes: number;
  /**
   * Local time in milliseconds at which the caller stops waiting. A change that
   * is still queued is rejected; one in flight gets an unknown outcome.
   */
  readonly deadline: number;
  /** Called once the change is durable. */
  readonly resolve: () => void;
  /** Called when the change is rejected or its outcome stays unknown. */
  readonly reject: (error: Error) => void;
  /** Rejects the caller at its deadline while the write is still in flight. */
  readonly rejectCaller: (error: Error) => void;
}
