import * as v from 'valibot';
import {resourcesSchema} from '../resources/resources_schema.js';
import type {WorkerAnnouncement} from './worker_announcement_types.js';

/** Schema of a worker's announcement on a link. */
export const workerAnnouncementSchema: v.GenericSchema<
  unknown,
  WorkerAnnouncement
> = v.object({
  worker: v.string(),
  failureDomain: v.string(),
  rack: v.string(),
  capacity: resourcesSchema,
  service: v.optional(v.string()),
  slots: v.number(),
  running: v.array(
    v.object({
      taskId: v.string(),
      epoch: v.number(),
      taskClass: v.string(),
      resources: resourcesSchema,
    }),
  ),
  draining: v.boolean(),
});
