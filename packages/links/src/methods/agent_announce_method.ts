import * as v from 'valibot';
import {
  entryMembersSchema,
  workerAnnouncementSchema,
  type EntryMember,
  type WorkerAnnouncement,
} from '@chicoryspring/contracts';
import type {LinkMethod} from '../method/link_method_types.js';

interface AnnounceResult {
  /** Every entry that the responding entry knows. */
  readonly entries: readonly EntryMember[];
}

/**
 * Agent to entry: announces the worker and its target.
 *
 * Used by agents for tasks and requests of callers, as are `agent.heartbeat`
 * and the methods `task.*`. Agents for runs of jobs use `agent.join`.
 */
export const agentAnnounceMethod: LinkMethod<
  WorkerAnnouncement,
  AnnounceResult
> = {
  name: 'agent.announce',
  input: workerAnnouncementSchema,
  result: v.object({entries: entryMembersSchema}),
};
