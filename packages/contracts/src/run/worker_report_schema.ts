import * as v from 'valibot';
import {crashedRunSchema} from './crashed_run_schema.js';
import {freeCapacitySchema} from './free_capacity_schema.js';
import {runEndingSchema} from './run_ending_schema.js';
import {runRefusalSchema} from './run_refusal_schema.js';
import {runStatusSchema} from './run_status_schema.js';
import {workerDescriptionSchema} from './worker_description_schema.js';
import type {WorkerReport} from './worker_report_types.js';

/** Schema of a worker report on a link. */
export const workerReportSchema: v.GenericSchema<unknown, WorkerReport> =
  v.object({
    agent: v.string(),
    agentLife: v.string(),
    version: v.number(),
    worker: v.optional(workerDescriptionSchema),
    isComplete: v.boolean(),
    free: freeCapacitySchema,
    runs: v.array(runStatusSchema),
    endings: v.array(runEndingSchema),
    crashedRuns: v.optional(v.array(crashedRunSchema)),
    crashedLives: v.optional(v.array(v.string())),
    refusals: v.array(runRefusalSchema),
  });
