import * as v from 'valibot';
import type {LinkMethod} from '../method/link_method_types.js';

interface HarmLearned {
  readonly rows: readonly {
    /** Image of the runs that serve. */
    readonly serving: string;
    /** Image of the filling runs beside them. */
    readonly filling: string;
    /** Growth of the logarithm of the tail, for each processor. */
    readonly harm: number;
  }[];
}

/** Owner to agent: how filling runs disturb runs that serve. */
export const harmLearnedMethod: LinkMethod<HarmLearned, null> = {
  name: 'harm.learned',
  input: v.object({
    rows: v.array(
      v.object({serving: v.string(), filling: v.string(), harm: v.number()}),
    ),
  }),
  result: v.null(),
};
