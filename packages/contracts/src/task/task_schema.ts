import * as v from 'valibot';
import {resourcesSchema} from '../resources/resources_schema.js';
import type {Task} from './task_types.js';

/** Schema of a task on a link or in the store. */
export const taskSchema: v.GenericSchema<unknown, Task> = v.object({
  id: v.string(),
  caller: v.string(),
  team: v.string(),
  kind: v.picklist(['run', 'watch']),
  taskClass: v.string(),
  urgent: v.boolean(),
  resources: resourcesSchema,
  idempotencyKey: v.string(),
  input: v.string(),
});
