import * as v from 'valibot';
import {resourcesSchema} from '../resources/resources_schema.js';
import type {WorkerDescription} from './worker_description_types.js';

/** Schema of the description of a worker on a link. */
export const workerDescriptionSchema: v.GenericSchema<
  unknown,
  WorkerDescription
> = v.object({
  worker: v.string(),
  life: v.string(),
  service: v.string(),
  failureDomain: v.string(),
  labels: v.array(v.string()),
  capacity: resourcesSchema,
  isLeaving: v.boolean(),
  isDraining: v.optional(v.boolean()),
  isAnswering: v.boolean(),
});
