import * as v from 'valibot';
import {resourcesSchema} from '../resources/resources_schema.js';
import type {JobStep} from './job_step_types.js';
import type {Job} from './job_types.js';

/** Maximum length of the specification of a job, in characters. */
const MAX_SPEC_LENGTH = 4_000;
/** Maximum steps of a job, tasks of a step, and occurrences. */
const MAX_STEPS = 64;
const MAX_TASKS = 10_000;
const MAX_OCCURRENCES = 10_000;

const amount = v.pipe(v.number(), v.finite(), v.minValue(0));
const count = v.pipe(v.number(), v.integer(), v.minValue(1));
const text = v.pipe(v.string(), v.minLength(1), v.maxLength(200));

const step: v.GenericSchema<unknown, JobStep> = v.object({
  count: v.pipe(count, v.maxValue(MAX_TASKS)),
  resources: resourcesSchema,
  estimateMilliseconds: v.optional(amount, 0),
  after: v.optional(
    v.array(v.pipe(v.number(), v.integer(), v.minValue(0))),
    [],
  ),
  isCheckpointable: v.optional(v.boolean(), false),
  isGang: v.optional(v.boolean(), false),
  isSameRack: v.optional(v.boolean(), false),
  requiredLabel: v.optional(text),
  dataRack: v.optional(text),
  mostPerWorker: v.optional(count),
  isSpeculative: v.optional(v.boolean(), false),
  isLasting: v.optional(v.boolean(), false),
  image: v.optional(text),
  goalMilliseconds: v.optional(amount),
  isFilling: v.optional(v.boolean(), false),
  mostUnavailable: v.optional(amount),
});

const steps = v.pipe(
  v.array(step),
  v.minLength(1),
  v.maxLength(MAX_STEPS),
  v.check(
    all => all.every((one, number) => one.after.every(it => it < number)),
    'a step may only follow earlier steps',
  ),
);

/** Schema of a submitted job. */
export const jobSchema: v.GenericSchema<unknown, Job> = v.object({
  id: v.pipe(v.string(), v.regex(/^[0-9a-zA-Z-]{1,64}$/, 'is not a job id')),
  queue: text,
  spec: v.pipe(v.string(), v.maxLength(MAX_SPEC_LENGTH)),
  steps,
  occurrences: v.optional(
    v.object({
      count: v.pipe(count, v.maxValue(MAX_OCCURRENCES)),
      firstInstant: amount,
      intervalMilliseconds: amount,
    }),
  ),
});
