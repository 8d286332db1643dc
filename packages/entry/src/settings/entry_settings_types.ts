import type {RoutingPolicyName} from '@chicoryspring/targets';

/** Settings of an entry. */
export interface EntrySettings {
  readonly name: string;
  readonly failureDomain: string;
  /** Address on which the entry listens for HTTP and links. */
  readonly host: string;
  readonly port: number;
  readonly storeUrl: string;
  readonly shardCount: number;
  /** Groups of shards that have one owner; each shard is one by default. */
  readonly ownerGroupCount?: number | undefined;
  /** Whether shards stay with a live owner when another is preferred. */
  readonly isOwnerKept?: boolean | undefined;
  /** How the target of a check is chosen. */
  readonly routingPolicy: RoutingPolicyName;
  /** Shared key of the fleet's links; a secret. */
  readonly linkKey: string;
  /** SHA-256 of a token that is always an operator's, in hexadecimal. */
  readonly operatorTokenHash: string;
}
