import * as v from 'valibot';
import {resourcesSchema, taskSchema} from '@chicoryspring/contracts';

/** Schemas of the worker's answers. */
export const workerSchemas = {
  list: v.object({
    incarnation: v.optional(v.string()),
    tasks: v.array(
      v.object({
        task: taskSchema,
        epoch: v.number(),
        leaseMilliseconds: v.number(),
      }),
    ),
  }),
  endings: v.object({
    endings: v.array(
      v.object({
        taskId: v.string(),
        epoch: v.number(),
        result: v.picklist(['finished', 'failed', 'lapsed']),
        answer: v.optional(v.string()),
        checkpoint: v.optional(v.string()),
      }),
    ),
  }),
  renewal: v.object({missing: v.array(v.string())}),
  stop: v.object({checkpoint: v.optional(v.string())}),
  usage: v.object({used: resourcesSchema}),
  nothing: v.object({}),
};
