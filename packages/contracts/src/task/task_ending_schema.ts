import * as v from 'valibot';
import {isolationLengthSchema} from './isolation_length_schema.js';
import type {TaskEnding} from './task_ending_types.js';

/** Schema of a task ending on a link. */
export const taskEndingSchema: v.GenericSchema<unknown, TaskEnding> = v.object({
  taskId: v.string(),
  epoch: v.number(),
  worker: v.string(),
  result: v.picklist(['finished', 'failed', 'evicted', 'lapsed']),
  answer: v.optional(v.string()),
  checkpoint: v.optional(v.string()),
  reason: v.optional(v.string()),
  loss: v.optional(
    v.object({
      isInProbation: v.boolean(),
      isolation: v.optional(isolationLengthSchema),
    }),
  ),
});
