import type {LinkMethodRegistry} from '@chicoryspring/links';
import {serveAgentMethods} from '../agents/agent_methods.js';
import {serveEntryMethods} from '../entries/entry_methods.js';
import {serveRunAgents} from '../jobs/run_agent_methods.js';
import {serveOperations} from '../operations/operation_handlers.js';
import type {EntryProcess} from './entry_process.js';

/** Registers all link methods that agents and other entries call. */
export function serveLinks(
  entry: EntryProcess,
  registry: LinkMethodRegistry,
): void {
  serveAgentMethods(entry, registry);
  serveOperations(entry, registry);
  serveEntryMethods(entry, registry);
  entry.jobs.serve(registry);
  serveRunAgents(entry.jobOwner, () => entry.live.entries, registry);
}
