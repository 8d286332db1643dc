import * as v from 'valibot';
import type {LinkMethod} from '../method/link_method_types.js';

interface RunStop {
  readonly shard: number;
  readonly epoch: number;
  readonly task: string;
  readonly run: number;
}

/** Owner to agent: stops a run; its ending follows in the reports. */
export const runStopMethod: LinkMethod<RunStop, null> = {
  name: 'run.stop',
  input: v.object({
    shard: v.number(),
    epoch: v.number(),
    task: v.string(),
    run: v.number(),
  }),
  result: v.null(),
};
