import type {Clock} from '@chicoryspring/contracts';
import {
  entryForwardMethod,
  entryRelayMethod,
  type LinkMethodRegistry,
} from '@chicoryspring/links';
import type {AgentPeerDirectory} from '../agents/agent_peer_directory.js';
import {explainTask} from '../explanation/task_explainer.js';
import type {LiveState} from '../live_state/live_state.js';
import type {RequestClaims} from '../requests/request_claims.js';
import type {EntrySettings} from '../settings/entry_settings_types.js';
import type {TaskOwner} from '../tasks/task_owner.js';
import type {TaskPlacer} from '../tasks/task_placer.js';
import type {TaskRecords} from '../tasks/task_records.js';
import type {OperationRouter} from './operation_router.js';
import {requestOperations} from './request_operations.js';
import {taskOperations} from './task_operations.js';

interface OperationHandlersParts {
  readonly agents: AgentPeerDirectory;
  readonly claims: RequestClaims;
  readonly clock: Clock;
  readonly live: LiveState;
  readonly operations: OperationRouter;
  readonly placer: TaskPlacer;
  readonly settings: EntrySettings;
  readonly taskOwner: TaskOwner;
  readonly taskRecords: TaskRecords;
}

/** Registers the operations on records, and the methods that route them. */
export function serveOperations(
  entry: OperationHandlersParts,
  registry: LinkMethodRegistry,
): void {
  registry.register(entryForwardMethod, async forwarded => {
    const deadline = entry.clock.now() + forwarded.remainingMilliseconds;
    const {operation, input} = forwarded;
    return await entry.operations.runForwarded(operation, input, deadline);
  });
  registry.register(entryRelayMethod, async relayed => {
    const deadline = entry.clock.now() + relayed.remainingMilliseconds;
    const {operation, input} = relayed;
    return await entry.operations.runRelayed(operation, input, deadline);
  });
  const {operations, taskOwner: owner, taskRecords: records} = entry;
  operations.serve(taskOperations.submit, async (task, deadline) => {
    if (!records.has(task.id)) entry.placer.requireFits(task);
    const record = await records.submit(task, deadline);
    owner.notify();
    return record;
  });
  operations.serve(taskOperations.get, async ({id}) => records.get(id));
  operations.serve(taskOperations.wait, ({id}, deadline) =>
    records.wait(id, deadline),
  );
  operations.serve(taskOperations.explain, async ({id}) =>
    explainTask(
      records.get(id),
      entry.agents.workers,
      entry.live.configuration.domainsOut,
      entry.settings.name,
    ),
  );
  operations.serve(taskOperations.cancel, ({id}) => owner.cancel(id));
  operations.serve(taskOperations.ended, async ending => {
    await owner.recordEnding(ending);
    return null;
  });
  operations.serve(requestOperations.keyed, async (keyed, deadline) => {
    const {claimKey, fingerprint, ...request} = keyed;
    return await entry.claims.serve(claimKey, fingerprint, {
      ...request,
      deadline,
    });
  });
}
