import * as v from 'valibot';
import {workerReportSchema, type WorkerReport} from '@chicoryspring/contracts';
import type {LinkMethod} from '../method/link_method_types.js';

interface ShardsHeld {
  readonly entry: string;
  readonly shards: readonly {
    readonly shard: number;
    /** Revision at which the entry became the owner. */
    readonly epoch: number;
  }[];
  /** Time for which the agent may keep runs of these shards alive. */
  readonly permissionMilliseconds: number;
}

interface ShardsHeldResult {
  /** What the agent answers for, when it heard of an owner anew. */
  readonly report?: WorkerReport | undefined;
}

/**
 * Owner to agent: these shards are owned here.
 *
 * The agent then refuses earlier owners, and keeps runs alive for a while.
 */
export const shardsHoldMethod: LinkMethod<ShardsHeld, ShardsHeldResult> = {
  name: 'shards.hold',
  input: v.object({
    entry: v.string(),
    shards: v.array(v.object({shard: v.number(), epoch: v.number()})),
    permissionMilliseconds: v.number(),
  }),
  result: v.object({report: v.optional(workerReportSchema)}),
};
