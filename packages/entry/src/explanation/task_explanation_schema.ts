import * as v from 'valibot';
import {taskStateSchema} from '@chicoryspring/contracts';
import type {TaskExplanation} from './task_explanation_types.js';

/** Schema of an explanation on a link between entries. */
export const taskExplanationSchema: v.GenericSchema<unknown, TaskExplanation> =
  v.object({
    id: v.string(),
    state: taskStateSchema,
    summary: v.string(),
    owner: v.string(),
    worker: v.optional(v.string()),
    failureDomain: v.optional(v.string()),
    epoch: v.number(),
    evictions: v.number(),
    failedWorkers: v.array(v.string()),
    reason: v.optional(v.string()),
    verdicts: v.array(
      v.object({
        verdict: v.string(),
        workers: v.number(),
        examples: v.array(v.string()),
      }),
    ),
  });
