import {
  agentAnnounceMethod,
  agentHeartbeatMethod,
  agentLoadMethod,
  taskEndedMethod,
  type LinkMethodRegistry,
} from '@chicoryspring/links';
import {taskOperations} from '../operations/task_operations.js';
import type {EntryProcess} from '../process/entry_process.js';

const ENDED_MILLISECONDS = 5_000;

/** Serves what agents call on an entry. */
export function serveAgentMethods(
  entry: EntryProcess,
  registry: LinkMethodRegistry,
): void {
  registry.serve(agentAnnounceMethod, async (announcement, link) => {
    entry.agents.announce(announcement, link);
    return {entries: entry.live.entries};
  });
  registry.serve(agentLoadMethod, async ({worker, load}) => {
    entry.agents.report(worker, load);
    return null;
  });
  registry.serve(agentHeartbeatMethod, async ({worker, load, revision}) => {
    entry.agents.report(worker, load);
    entry.administration.confirmed.confirm(worker, revision);
    const {configuration, freshMilliseconds, entries} = entry.live;
    return {
      revision: configuration.current.revision,
      domainsOut: configuration.domainsOut,
      permissionMilliseconds: entry.isDraining ? 0 : freshMilliseconds,
      entries,
    };
  });
  registry.serve(taskEndedMethod, async ending => {
    const deadline = entry.clock.now() + ENDED_MILLISECONDS;
    return await entry.operations.run(taskOperations.ended, ending, deadline);
  });
}
