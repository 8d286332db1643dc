import type {Clock} from '@chicoryspring/contracts';
import {
  agentAnnounceMethod,
  agentHeartbeatMethod,
  agentLoadMethod,
  taskEndedMethod,
  type LinkMethodRegistry,
} from '@chicoryspring/links';
import type {Administration} from '../administration/administration.js';
import type {LiveState} from '../live_state/live_state.js';
import {taskOperations} from '../operations/task_operations.js';
import type {OperationRouter} from '../operations/operation_router.js';
import type {TaskPlacer} from '../tasks/task_placer.js';
import type {AgentPeerDirectory} from './agent_peer_directory.js';

const ENDING_TIMEOUT_MILLISECONDS = 5_000;

interface AgentMethodsParts {
  readonly administration: Administration;
  readonly agents: AgentPeerDirectory;
  readonly clock: Clock;
  readonly isDraining: boolean;
  readonly live: LiveState;
  readonly operations: OperationRouter;
  readonly placer: TaskPlacer;
}

/**
 * Registers the link methods that agents for tasks and requests call.
 *
 * The methods for agents that run jobs are in the jobs folder.
 */
export function serveAgentMethods(
  entry: AgentMethodsParts,
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
