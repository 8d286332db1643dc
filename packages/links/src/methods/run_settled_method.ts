import * as v from 'valibot';
import type {LinkMethod} from '../method/link_method_types.js';

interface SettledEndings {
  /**
   * Shard of the endings and its ownership epoch, so that an earlier owner
   * settles nothing; absent from an entry of an earlier release.
   */
  readonly shard?: number | undefined;
  readonly epoch?: number | undefined;
  /** Incarnation of the worker that listed the endings. */
  readonly life: string;
  readonly numbers: readonly number[];
}

/** Owner to agent: these endings are durable, or no owner needs them. */
export const runSettledMethod: LinkMethod<SettledEndings, null> = {
  name: 'run.settled',
  input: v.object({
    shard: v.optional(v.number()),
    epoch: v.optional(v.number()),
    life: v.string(),
    numbers: v.array(v.number()),
  }),
  result: v.null(),
};
