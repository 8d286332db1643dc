import type {StoreCondition, StoreOperation} from '@chicoryspring/store';
import type {OwnedShard} from '../shard/owned_shard.js';
import type {PendingChange} from './pending_change_types.js';

/** The part of a store transaction that belongs to one shard. */
export interface ShardWrite {
  readonly owned: OwnedShard;
  readonly changes: readonly PendingChange[];
  readonly journalKey: string;
  readonly commitId: string;
  /** Encoded size of the journal entry, in bytes. */
  readonly journalBytes: number;
  readonly hasSnapshot: boolean;
  /** Sequence of the oldest journal entry that is left. */
  readonly oldestSequence: number;
  readonly conditions: readonly StoreCondition[];
  readonly operations: readonly StoreOperation[];
}
