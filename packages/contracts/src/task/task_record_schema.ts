import * as v from 'valibot';
import {taskStateSchema} from './task_state_schema.js';
import {taskSchema} from './task_schema.js';
import type {TaskRecord} from './task_record_types.js';

/** Schema of a durable task record. */
export const taskRecordSchema: v.GenericSchema<unknown, TaskRecord> = v.object({
  kind: v.literal('task'),
  key: v.string(),
  task: taskSchema,
  state: taskStateSchema,
  epoch: v.number(),
  worker: v.optional(v.string()),
  checkpoint: v.optional(v.string()),
  answer: v.optional(v.string()),
  reason: v.optional(v.string()),
  failedWorkers: v.array(v.string()),
  losses: v.optional(
    v.object({inProbation: v.number(), afterProbation: v.number()}),
  ),
  evictions: v.number(),
  retentionDeadline: v.optional(v.number()),
});
