import * as v from 'valibot';
import {resourcesSchema} from '../resources/resources_schema.js';
import type {WorkerLoad} from './worker_load_types.js';

/** Schema of a load report on a link. */
export const workerLoadSchema: v.GenericSchema<unknown, WorkerLoad> = v.object({
  free: resourcesSchema,
  requestsInFlight: v.number(),
  tailMilliseconds: v.number(),
  measured: resourcesSchema,
});
