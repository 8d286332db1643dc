import * as v from 'valibot';
import {resourcesSchema} from '../resources/resources_schema.js';
import type {RunDescription} from './run_description_types.js';

/** Schema of the description of a run. */
export const runDescriptionSchema: v.GenericSchema<unknown, RunDescription> =
  v.object({
    resources: resourcesSchema,
    isFilling: v.boolean(),
    isLasting: v.boolean(),
    image: v.optional(v.string()),
    goalMilliseconds: v.optional(v.number()),
  });
