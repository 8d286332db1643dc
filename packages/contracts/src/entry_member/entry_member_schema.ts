import * as v from 'valibot';
import {linkRateSchema} from './link_rate_schema.js';
import {linkUrlSchema} from './link_url_schema.js';
import type {EntryMember} from './entry_member_types.js';

const MAX_NAME_CHARACTERS = 200;

/** Schema of an entry member in the store and on links. */
export const entryMemberSchema: v.GenericSchema<unknown, EntryMember> =
  v.object({
    name: v.pipe(
      v.string(),
      v.minLength(1),
      v.maxLength(MAX_NAME_CHARACTERS, 'the name is too long'),
    ),
    linkUrl: linkUrlSchema,
    megabitsPerSecond: v.optional(linkRateSchema),
    registration: v.optional(v.string()),
  });
