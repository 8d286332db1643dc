import {
  entryForwardMethod,
  entryRelayMethod,
  storeContactMethod,
  type LinkMethodRegistry,
} from '@chicoryspring/links';
import {explainTask} from '../explanation/task_explainer.js';
import type {EntryProcess} from '../process/entry_process.js';
import {requestOperations} from './request_operations.js';
import {taskOperations} from './task_operations.js';

/** Registers the operations on records, and the methods that route them. */
export function serveOperations(
  entry: EntryProcess,
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
  registry.register(storeContactMethod, async () => ({
    // The lease may outlast the last answer of the store.
    hasContact: entry.live.contactMilliseconds > 0 || entry.isMember,
  }));
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
