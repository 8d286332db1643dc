import * as v from 'valibot';
import type {JobRecord} from './job_record_types.js';
import {jobProgressSchema} from './job_progress_schema.js';
import {jobSchema} from './job_schema.js';
import {schedulingParametersSchema} from './scheduling_parameters_schema.js';

/** Schema of a durable job record. */
export const jobRecordSchema: v.GenericSchema<unknown, JobRecord> = v.object({
  kind: v.literal('job'),
  key: v.string(),
  job: jobSchema,
  terms: schedulingParametersSchema,
  state: v.picklist(['accepted', 'complete', 'failed', 'cancelled']),
  acceptedInstant: v.number(),
  progress: jobProgressSchema,
  retentionDeadline: v.optional(v.number()),
});
