import type {Clock, SchedulingParameters} from '@chicoryspring/contracts';
import type {Metrics, StateLog} from '@chicoryspring/observability';
import type {ShardTable} from '@chicoryspring/shards';
import type {Store} from '@chicoryspring/store';
import type {EarlierOwnerBounds} from '../membership/earlier_owner_bounds_types.js';
import type {Ownership} from '../tasks/ownership_types.js';

/** What the owner of jobs needs of its entry. */
export interface JobOwnerParts {
  readonly entryName: string;
  readonly store: Store;
  readonly table: () => ShardTable;
  readonly clock: Clock;
  readonly log: StateLog;
  readonly metrics: Metrics;
  readonly ownership: () => Ownership;
  readonly earlierOwners: EarlierOwnerBounds;
  readonly termsOf: (queue: string) => SchedulingParameters | undefined;
  /** Revision of the configuration in force. */
  readonly configurationRevision: () => number;
  readonly domainsOut: () => readonly string[];
}
