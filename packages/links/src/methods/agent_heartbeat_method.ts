import * as v from 'valibot';
import {
  entryMembersSchema,
  workerLoadSchema,
  type EntryMember,
  type WorkerLoad,
} from '@chicoryspring/contracts';
import type {LinkMethod} from '../method/link_method_types.js';

interface AgentHeartbeat {
  readonly worker: string;
  /** Configuration revision that is active at the agent. */
  readonly revision: number;
  readonly load: WorkerLoad;
}

interface HeartbeatResult {
  /** Configuration revision that is active at the entry. */
  readonly revision: number;
  /** Failure domains that are out of service at that revision. */
  readonly domainsOut: readonly string[];
  /** Validity of the start permission; 0 grants none. */
  readonly permissionMilliseconds: number;
  readonly entries: readonly EntryMember[];
}

/** Agent to entry, its preferred one first: renews the start permission. */
export const agentHeartbeatMethod: LinkMethod<AgentHeartbeat, HeartbeatResult> =
  {
    name: 'agent.heartbeat',
    input: v.object({
      worker: v.string(),
      revision: v.number(),
      load: workerLoadSchema,
    }),
    result: v.object({
      revision: v.number(),
      domainsOut: v.array(v.string()),
      permissionMilliseconds: v.number(),
      entries: entryMembersSchema,
    }),
  };
