import type {Worker} from '@chicoryspring/workers';

/** What the conditions of a status are worked out from. */
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
