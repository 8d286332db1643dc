import * as v from 'valibot';
import type {EntryMember} from './entry_member_types.js';

/** Schema of an entry member in the store and on links. */
export const entryMemberSchema: v.GenericSchema<unknown, EntryMember> =
  v.object({
    name: v.string(),
    linkUrl: v.string(),
    megabitsPerSecond: v.optional(v.number()),
  });
