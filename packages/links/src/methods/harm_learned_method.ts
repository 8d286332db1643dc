import * as v from 'valibot';
import {harmRowsSchema} from './harm_rows_schema.js';
import type {LinkMethod} from '../method/link_method_types.js';

interface HarmLearned {
  readonly rows: v.InferOutput<typeof harmRowsSchema>;
}

/** Owner to agent: how filling runs disturb runs that serve. */
export const harmLearnedMethod: LinkMethod<HarmLearned, null> = {
  name: 'harm.learned',
  input: v.object({rows: harmRowsSchema}),
  result: v.null(),
};
