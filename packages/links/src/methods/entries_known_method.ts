import * as v from 'valibot';
import {entryMembersSchema, type EntryMember} from '@chicoryspring/contracts';
import type {LinkMethod} from '../method/link_method_types.js';

interface KnownEntries {
  readonly entries: readonly EntryMember[];
}

/** Entry to agent, as a notification: the new list of entries. */
export const entriesKnownMethod: LinkMethod<KnownEntries, null> = {
  name: 'entries.known',
  input: v.object({entries: entryMembersSchema}),
  result: v.null(),
};
