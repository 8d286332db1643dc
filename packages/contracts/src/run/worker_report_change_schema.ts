import * as v from 'valibot';
import {crashedRunSchema} from './crashed_run_schema.js';
import {freeCapacitySchema} from './free_capacity_schema.js';
import {runEndingSchema} from './run_ending_schema.js';
import {runRefusalSchema} from './run_refusal_schema.js';
import {runStatusSchema} from './run_status_schema.js';
import {workerDescriptionSchema} from './worker_description_schema.js';
import type {WorkerReportChange} from './worker_report_change_types.js';

/** Schema of a change of a worker report on a link. */
export const workerReportChangeSchema: v.GenericSchema<
  unknown,
  WorkerReportChange
> = v.object({
  agent: v.string(),
  agentLife: v.string(),
  baseVersion: v.number(),
  version: v.number(),
  worker: v.optional(v.nullable(workerDescriptionSchema)),
  isComplete: v.optional(v.boolean()),
  free: v.optional(freeCapacitySchema),
  runs: v.optional(v.array(runStatusSchema)),
  removedRuns: v.optional(
    v.array(v.object({task: v.string(), run: v.number()})),
  ),
  endings: v.optional(v.array(runEndingSchema)),
  settledEndings: v.optional(v.array(v.number())),
  refusals: v.optional(v.array(runRefusalSchema)),
  crashedRuns: v.optional(v.array(crashedRunSchema)),
  crashedLives: v.optional(v.array(v.string())),
});
