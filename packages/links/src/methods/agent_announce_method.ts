import * as v from 'valibot';
import {
  entryMemberSchema,
  workerAnnouncementSchema,
  type EntryMember,
  type WorkerAnnouncement,
} from '@chicoryspring/contracts';
import type {LinkMethod} from '../method/link_method_types.js';

interface AnnounceResult {
  /** Every entry that the answering one knows. */
  readonly entries: readonly EntryMember[];
}

/** Agent to entry: announces the worker and its target. */
export const agentAnnounceMethod: LinkMethod<
  WorkerAnnouncement,
  AnnounceResult
> = {
  name: 'agent.announce',
  input: workerAnnouncementSchema,
  result: v.object({entries: v.array(entryMemberSchema)}),
};
