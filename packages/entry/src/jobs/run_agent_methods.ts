import type {EntryMember} from '@chicoryspring/contracts';
import {
  agentJoinMethod,
  workerReportChangeMethod,
  workerReportMethod,
  type LinkMethodRegistry,
} from '@chicoryspring/links';
import type {JobOwner} from './job_owner.js';

/** Serves the calls of agents that run jobs (agent.join, worker.report). */
export function serveRunAgents(
  owner: JobOwner,
  entries: () => readonly EntryMember[],
  registry: LinkMethodRegistry,
): void {
  registry.register(agentJoinMethod, async (report, link) => {
    owner.agentJoined(report, link);
    return {entries: entries(), acceptsReportChanges: true};
  });
  registry.register(workerReportMethod, async (report, link) => {
    owner.agentReported(report, link);
    return null;
  });
  registry.register(workerReportChangeMethod, async (change, link) => {
    owner.agentReportChanged(change, link);
    return null;
  });
}
