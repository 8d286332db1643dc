import * as v from 'valibot';
import {workerReportSchema, type WorkerReport} from '@chicoryspring/contracts';
import {interferenceRowsSchema} from './interference_rows_schema.js';
import type {LinkMethod} from '../method/link_method_types.js';

interface ShardsHeld {
  readonly shardCount: number;
  readonly shards: readonly {
    readonly shard: number;
    /** Revision at which the entry became the owner. */
    readonly epoch: number;
  }[];
  /** Time for which the agent may keep runs of these shards alive. */
  readonly permissionMilliseconds: number;
  /** Whether the answer should say what the agent answers for. */
  readonly wantsReport: boolean;
}

interface ShardsHeldResult {
  /** What the agent answers for, when it heard of an owner anew. */
  readonly report?: WorkerReport | undefined;
  /** What an earlier owner has learned, with the report. */
  readonly harms?: v.InferOutput<typeof interferenceRowsSchema> | undefined;
}

/**
 * Owner to agent: these shards are owned here.
 *
 * The agent then refuses earlier owners, and keeps runs alive for a while.
 */
export const shardsHoldMethod: LinkMethod<ShardsHeld, ShardsHeldResult> = {
  name: 'shards.hold',
  input: v.object({
    shardCount: v.number(),
    shards: v.array(v.object({shard: v.number(), epoch: v.number()})),
    permissionMilliseconds: v.number(),
    wantsReport: v.boolean(),
  }),
  result: v.object({
    report: v.optional(workerReportSchema),
    harms: v.optional(interferenceRowsSchema),
  }),
};
