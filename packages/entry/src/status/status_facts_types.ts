import type {Worker} from '@chicoryspring/workers';

/** Facts from which the conditions of a status are derived. */
export interface StatusFacts {
  readonly isDraining: boolean;
  readonly isMember: boolean;
  readonly isStoreFresh: boolean;
  readonly revision: number;
  readonly domainsOut: readonly string[];
  readonly knownEntries: readonly string[];
  readonly linkedEntries: readonly string[];
  readonly shardCount: number;
  readonly ownedShardCount: number;
  readonly workers: readonly Worker[];
}
