import * as v from 'valibot';
import {resourcesSchema} from '../resources/resources_schema.js';
import type {WorkerLoad} from './worker_load_types.js';

const amount = v.pipe(v.number(), v.finite(), v.minValue(0));

/** Schema of a load report on a link. */
export const workerLoadSchema: v.GenericSchema<unknown, WorkerLoad> = v.object({
  free: resourcesSchema,
  requestsInFlight: v.number(),
  tailMilliseconds: v.number(),
  measured: resourcesSchema,
  classes: v.optional(
    v.array(
      v.object({
        taskClass: v.string(),
        tasks: amount,
        declaredProcessors: amount,
        usedProcessors: v.optional(amount),
        pace: v.optional(v.pipe(v.number(), v.minValue(0), v.maxValue(1))),
      }),
    ),
  ),
});
