import type {StoreCondition, StoreOperation} from '@chicoryspring/store';
import type {OwnedShard} from '../shard/owned_shard.js';
import type {PendingChange} from './pending_change_types.js';

/** The part of one write of the store that concerns one shard. */
export interface ShardWrite {
  readonly owned: OwnedShard;
  readonly changes: readonly PendingChange[];
  readonly journalKey: string;
  readonly commitId: string;
  /** What a snapshot leaves as the oldest journal value; absent without. */
  readonly oldestSequence?: number | undefined;
  readonly conditions: readonly StoreCondition[];
  readonly operations: readonly StoreOperation[];
}
