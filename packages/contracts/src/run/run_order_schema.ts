import * as v from 'valibot';
import {runDescriptionSchema} from './run_description_schema.js';
import type {RunOrder} from './run_order_types.js';

/** Schema of a start order for a run. */
export const runOrderSchema: v.GenericSchema<unknown, RunOrder> = v.object({
  task: v.string(),
  run: v.number(),
  spec: v.string(),
  description: runDescriptionSchema,
  pace: v.number(),
  checkpoint: v.optional(v.string()),
  ticket: v.optional(v.string()),
  isIsolated: v.optional(v.boolean()),
  hasLongProbation: v.optional(v.boolean()),
});
