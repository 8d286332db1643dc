import * as v from 'valibot';
import type {RunRefusal} from './run_refusal_types.js';

/** Schema of a rejected run on a link. */
export const runRefusalSchema: v.GenericSchema<unknown, RunRefusal> = v.object({
  task: v.string(),
  run: v.number(),
  reason: v.string(),
});
