import * as v from 'valibot';
import type {PublishedChange} from './published_change_types.js';

/** Schema of a published change as it is stored. */
export const publishedChangeSchema: v.GenericSchema<unknown, PublishedChange> =
  v.object({
    changeId: v.string(),
    author: v.string(),
    at: v.string(),
    fromRevision: v.number(),
    summary: v.string(),
  });
