import type {LinkMethodRegistry} from '@chicoryspring/links';
import {serveAgentMethods} from '../agents/agent_methods.js';
import {serveEntryMethods} from '../entries/entry_methods.js';
import type {JobGateway} from '../jobs/job_gateway.js';
import type {JobOwner} from '../jobs/job_owner.js';
import {serveRunAgents} from '../jobs/run_agent_methods.js';
import {serveOperations} from '../operations/operation_handlers.js';

type EntryLinksParts = Parameters<typeof serveAgentMethods>[0] &
  Parameters<typeof serveOperations>[0] &
  Parameters<typeof serveEntryMethods>[0] & {
    readonly jobs: JobGateway;
    readonly jobOwner: JobOwner;
  };

/** Registers all link methods that agents and other entries call. */
export function serveLinks(
  entry: EntryLinksParts,
  registry: LinkMethodRegistry,
): void {
  serveAgentMethods(entry, registry);
  serveOperations(entry, registry);
  serveEntryMethods(entry, registry);
  entry.jobs.serve(registry);
  serveRunAgents(entry.jobOwner, () => entry.live.entries, registry);
}
