import * as v from 'valibot';
import {
  jobSchema,
  schedulingParametersSchema,
  type JobStatus,
} from '@chicoryspring/contracts';
import type {Operation} from '../operations/operation_types.js';
import type {JobSubmission} from './job_submission_types.js';

/** Time limit of an owner's answer; the caller then tries another entry. */
const ANSWER_TIMEOUT_MILLISECONDS = 1_500;

interface JobById {
  readonly id: string;
}

const byId: v.GenericSchema<unknown, JobById> = v.object({id: v.string()});
const status: v.GenericSchema<unknown, JobStatus> = v.picklist([
  'queued',
  'running',
  'complete',
  'failed',
  'cancelled',
]);

function operationById(name: string): Operation<JobById, JobStatus> {
  return {
    name,
    input: byId,
    result: status,
    key: ({id}) => id,
    isIdempotent: true,
    answerMilliseconds: ANSWER_TIMEOUT_MILLISECONDS,
  };
}

const submission: v.GenericSchema<unknown, JobSubmission> = v.intersect([
  jobSchema,
  v.object({
    received: v.optional(
      v.object({
        revision: v.number(),
        terms: v.optional(schedulingParametersSchema),
      }),
    ),
  }),
]);

const submit: Operation<JobSubmission, JobStatus> = {
  name: 'job.submit',
  input: submission,
  result: status,
  key: job => job.id,
  // A repeated submission has the same id and finds the accepted job.
  isIdempotent: true,
  answerMilliseconds: ANSWER_TIMEOUT_MILLISECONDS,
};

/** Operations on jobs. */
export const jobOperations = {
  submit,
  status: operationById('job.status'),
  cancel: operationById('job.cancel'),
};
