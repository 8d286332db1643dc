import type {Clock} from '@chicoryspring/contracts';
import type {EntryOwnership} from '../membership/entry_ownership.js';

/** What other entries may ask of an entry about the ownership of shards. */
export interface OwnershipMethodsParts {
  readonly clock: Clock;
  readonly ownership: Pick<
    EntryOwnership,
    'introductions' | 'storeContact' | 'graceBlocks'
  >;
}
