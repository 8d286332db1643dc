import * as v from 'valibot';
import {
  entryMembersSchema,
  workerReportSchema,
  type EntryMember,
  type WorkerReport,
} from '@chicoryspring/contracts';
import type {LinkMethod} from '../method/link_method_types.js';

interface JoinResult {
  readonly entries: readonly EntryMember[];
  /** Whether the entry accepts `worker.report-change`; false if absent. */
  readonly acceptsReportChanges?: boolean | undefined;
}

/**
 * Agent to entry: reports on a new link and gets the list of entries.
 *
 * Used by agents for runs of jobs, as are `worker.report`, `shards.hold` and
 * the methods `run.*`. Agents for tasks and requests use `agent.announce`.
 */
export const agentJoinMethod: LinkMethod<WorkerReport, JoinResult> = {
  name: 'agent.join',
  input: workerReportSchema,
  result: v.object({
    entries: entryMembersSchema,
    acceptsReportChanges: v.optional(v.boolean()),
  }),
};
