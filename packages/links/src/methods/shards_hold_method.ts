import * as v from 'valibot';
import {workerReportSchema, type WorkerReport} from '@chicoryspring/contracts';
import {interferenceRowsSchema} from './interference_rows_schema.js';
import type {LinkMethod} from '../method/link_method_types.js';

interface OwnedShards {
  readonly shardCount: number;
  readonly shards: readonly {
    readonly shard: number;
    /** Ownership epoch: the revision at which the entry became the owner. */
    readonly epoch: number;
  }[];
  /** Validity of the run permission of these shards. */
  readonly permissionMilliseconds: number;
  /** Whether the owner certainly holds its lease in the store. */
  readonly isLeaseHeld: boolean;
  /** Configuration revision that is active at the owner. */
  readonly revision: number;
  /** Failure domains that are out of service at that revision. */
  readonly domainsOut: readonly string[];
  /** Whether the result should include the agent's report. */
  readonly wantsReport: boolean;
}

interface OwnedShardsResult {
  /** The agent's report, on request or for a newly announced owner. */
  readonly report?: WorkerReport | undefined;
  /** Interference learned by a previous owner, together with the report. */
  readonly harms?: v.InferOutput<typeof interferenceRowsSchema> | undefined;
}

/**
 * Owner to agent: announces the shards that it owns.
 *
 * The agent then rejects calls of previous owners, and the run permission of
 * these shards is renewed. It also learns in which failure domains no run may
 * begin, also one whose order it has already accepted.
 */
export const shardsHoldMethod: LinkMethod<OwnedShards, OwnedShardsResult> = {
  name: 'shards.hold',
  input: v.object({
    shardCount: v.number(),
    shards: v.array(v.object({shard: v.number(), epoch: v.number()})),
    permissionMilliseconds: v.number(),
    isLeaseHeld: v.optional(v.boolean(), true),
    revision: v.optional(v.number(), 0),
    domainsOut: v.optional(v.array(v.string()), []),
    wantsReport: v.boolean(),
  }),
  result: v.object({
    report: v.optional(workerReportSchema),
    harms: v.optional(interferenceRowsSchema),
  }),
};
