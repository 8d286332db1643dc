import type {ShardTable} from '@chicoryspring/shards';
import type {LiveState} from '../live_state/live_state.js';
import type {EntryIntroductions} from './entry_introductions.js';

/** What other entries may ask of an entry about the ownership of shards. */
export interface OwnershipMethodsParts {
  readonly introductions: EntryIntroductions;
  /** Whether the entry is registered under a store lease. */
  readonly isMember: boolean;
  readonly live: Pick<LiveState, 'contactMilliseconds'>;
  readonly table: Pick<ShardTable, 'ownerships'>;
}
