import * as v from 'valibot';
import {
  runOrderMessageSchema,
  type RunOrderMessage,
} from '@chicoryspring/contracts';
import type {LinkMethod} from '../method/link_method_types.js';

interface RunStart {
  readonly order: RunOrderMessage;
  /** Incarnation of the worker for which the run is meant. */
  readonly life: string;
  readonly shard: number;
  /** Ownership epoch of the shard under which the run is started. */
  readonly epoch: number;
  /** Time within which the start order is valid. */
  readonly validMilliseconds: number;
}

interface RunStartResult {
  /** Version of the first report that lists the run. */
  readonly version: number;
}

/** Owner to agent: starts a run; its progress follows in the reports. */
export const runStartMethod: LinkMethod<RunStart, RunStartResult> = {
  name: 'run.start',
  input: v.object({
    order: runOrderMessageSchema,
    life: v.string(),
    shard: v.number(),
    epoch: v.number(),
    validMilliseconds: v.number(),
  }),
  result: v.object({version: v.number()}),
};
