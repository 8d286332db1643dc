import * as v from 'valibot';
import type {LinkMethod} from '../method/link_method_types.js';

interface SettledEndings {
  /** Incarnation of the worker that listed the endings. */
  readonly life: string;
  readonly numbers: readonly number[];
}

/** Owner to agent: these endings are durable, or no owner needs them. */
export const runSettledMethod: LinkMethod<SettledEndings, null> = {
  name: 'run.settled',
  input: v.object({life: v.string(), numbers: v.array(v.number())}),
  result: v.null(),
};
