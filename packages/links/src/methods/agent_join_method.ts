import * as v from 'valibot';
import {
  entryMemberSchema,
  workerReportSchema,
  type EntryMember,
  type WorkerReport,
} from '@chicoryspring/contracts';
import type {LinkMethod} from '../method/link_method_types.js';

interface AgentJoined {
  readonly entries: readonly EntryMember[];
}

/** Agent to entry: greets on a new link and learns the other entries. */
export const agentJoinMethod: LinkMethod<WorkerReport, AgentJoined> = {
  name: 'agent.join',
  input: workerReportSchema,
  result: v.object({entries: v.array(entryMemberSchema)}),
};
