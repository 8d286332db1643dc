import {
  agentAnnounceMethod,
  agentHeartbeatMethod,
  agentLoadMethod,
  taskEndedMethod,
  type LinkMethodRegistry,
} from '@chicoryspring/links';
import {taskOperations} from '../operations/task_operations.js';
import type {EntryProcess} from '../process/entry_process.js';

const ENDING_TIMEOUT_MILLISECONDS = 5_000;

/**
 * Registers the link methods that agents for tasks and requests call.
 *
 * The methods for agents that run jobs are in the jobs folder.
 */
export function serveAgentMethods(
  entry: EntryProcess,
  registry: LinkMethodRegistry,
): void {
  registry.register(agentAnnounceMethod, async (announcement, link) => {
    entry.agents.recordAnnouncement(announcement, link);
    entry.placer.recordAnnouncement(announcement);
    return {entries: entry.live.entries};
  });
  registry.register(agentLoadMethod, async ({worker, load}) => {
    entry.agents.recordLoad(worker, load);
    entry.placer.recordLoad(load);
    return null;
  });
  registry.register(agentHeartbeatMethod, async ({worker, load, revision}) => {
    entry.agents.recordLoad(worker, load);
    entry.administration.confirmed.confirm(worker, revision);
    const {configuration, remainingFreshMilliseconds, entries} = entry.live;
    return {
      revision: configuration.current.revision,
      domainsOut: configuration.domainsOut,
      permissionMilliseconds: entry.isDraining ? 0 : remainingFreshMilliseconds,
      entries,
    };
  });
  registry.register(taskEndedMethod, async ending => {
    const deadline = entry.clock.now() + ENDING_TIMEOUT_MILLISECONDS;
    return await entry.operations.run(taskOperations.ended, ending, deadline);
  });
}
