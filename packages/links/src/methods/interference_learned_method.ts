import * as v from 'valibot';
import {interferenceRowsSchema} from './interference_rows_schema.js';
import type {LinkMethod} from '../method/link_method_types.js';

interface LearnedInterference {
  readonly rows: v.InferOutput<typeof interferenceRowsSchema>;
}

/** Owner to agent, as a notification: the learned interference. */
export const interferenceLearnedMethod: LinkMethod<LearnedInterference, null> =
  {
    name: 'harm.learned',
    input: v.object({rows: interferenceRowsSchema}),
    result: v.null(),
  };
