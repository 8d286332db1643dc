import * as v from 'valibot';
import type {TargetAnnouncement} from './target_announcement_types.js';

const count = v.pipe(v.number(), v.integer(), v.minValue(1));

/** Schema of a target's announcement. */
export const targetAnnouncementSchema: v.GenericSchema<
  unknown,
  TargetAnnouncement
> = v.strictObject({
  service: v.pipe(v.string(), v.nonEmpty()),
  url: v.pipe(v.string(), v.url()),
  slots: count,
  connections: count,
});
