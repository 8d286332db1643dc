import type {RoutingPolicyName} from '@chicoryspring/targets';

/** Settings of an entry. */
export interface EntrySettings {
  readonly name: string;
  readonly failureDomain: string;
  /** Address on which the entry listens for HTTP and links. */
  readonly host: string;
  readonly port: number;
  readonly storeUrl: string;
  /** Rate of the network connection, if known. */
  readonly megabitsPerSecond?: number | undefined;
  /** Mebibytes of request bodies that it holds at once, over all listeners. */
  readonly bodyBudgetMebibytes?: number | undefined;
  readonly shardCount: number;
  /** Number of shard groups; a group has one owner; default: one per shard. */
  readonly ownerGroupCount?: number | undefined;
  /** Whether a shard stays with its live owner when another is preferred. */
  readonly isOwnerKept?: boolean | undefined;
  /** Policy that chooses the target of a check. */
  readonly routingPolicy: RoutingPolicyName;
  /** Shared key of the fleet's links; a secret. */
  readonly linkKey: string;
  /** Hexadecimal SHA-256 of a token that always has the operator role. */
  readonly operatorTokenHash: string;
}
