import * as v from 'valibot';
import {runDescriptionSchema} from './run_description_schema.js';
import type {RunOrderMessage} from './run_order_message_types.js';

/** Schema of a start order for a run on a link. */
export const runOrderMessageSchema: v.GenericSchema<unknown, RunOrderMessage> =
  v.object({
    task: v.string(),
    run: v.number(),
    spec: v.optional(v.string()),
    description: runDescriptionSchema,
    pace: v.number(),
    checkpoint: v.optional(v.string()),
    ticket: v.optional(v.string()),
    isIsolated: v.optional(v.boolean()),
    hasLongProbation: v.optional(v.boolean()),
  });
