import * as v from 'valibot';
import {runOrderSchema, type RunOrder} from '@chicoryspring/contracts';
import type {LinkMethod} from '../method/link_method_types.js';

interface RunStart {
  readonly order: RunOrder;
  /** Life of the worker that the run is for. */
  readonly life: string;
  readonly shard: number;
  /** Ownership of the shard under which the run is started. */
  readonly epoch: number;
  /** Time for which the order may still be carried out. */
  readonly validMilliseconds: number;
}

interface RunStartResult {
  /** Version of the report from which on the run is listed. */
  readonly version: number;
}

/** Owner to agent: takes a run on; its fate comes with the reports. */
export const runStartMethod: LinkMethod<RunStart, RunStartResult> = {
  name: 'run.start',
  input: v.object({
    order: runOrderSchema,
    life: v.string(),
    shard: v.number(),
    epoch: v.number(),
    validMilliseconds: v.number(),
  }),
  result: v.object({version: v.number()}),
};
