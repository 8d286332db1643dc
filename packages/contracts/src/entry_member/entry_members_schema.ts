import * as v from 'valibot';
import {entryMemberSchema} from './entry_member_schema.js';
import type {EntryMember} from './entry_member_types.js';

/** Schema of a list of entries on a link; unreadable ones are left out. */
export const entryMembersSchema: v.GenericSchema<
  unknown,
  readonly EntryMember[]
> = v.pipe(
  v.array(v.unknown()),
  v.transform(members =>
    members.flatMap(member => {
      const checked = v.safeParse(entryMemberSchema, member);
      return checked.success ? [checked.output] : [];
    }),
  ),
);
