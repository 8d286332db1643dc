import * as v from 'valibot';
import {crashedRunSchema, type CrashedRun} from '@chicoryspring/contracts';
import type {LinkMethod} from '../method/link_method_types.js';

interface SettledCrashedRun {
  readonly shard: number;
  /** Ownership epoch of the shard, so that an earlier owner settles nothing. */
  readonly epoch: number;
  readonly crashedRun: CrashedRun;
}

/** Owner to agent: the crash of this run is durable, or no owner needs it. */
export const runCrashSettledMethod: LinkMethod<SettledCrashedRun, null> = {
  name: 'run.crash-settled',
  input: v.object({
    shard: v.number(),
    epoch: v.number(),
    crashedRun: crashedRunSchema,
  }),
  result: v.null(),
};
