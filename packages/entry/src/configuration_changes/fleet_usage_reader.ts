import {ResourcesArithmetic} from '@chicoryspring/contracts';
import type {FleetUsage} from '@chicoryspring/configuration';
import type {AgentPeerDirectory} from '../agents/agent_peer_directory.js';
import {TaskRecords} from '../tasks/task_records.js';

/** Returns the capacity of the linked workers and the objects in use. */
export function readFleetUsage(
  agents: AgentPeerDirectory,
  records: TaskRecords,
): FleetUsage {
  const announced = agents.workers.map(worker => worker.announcement);
  const nonTerminal = records.all.filter(one => !TaskRecords.isTerminal(one));
  const capacity = announced
    .map(one => one.capacity)
    .reduce(ResourcesArithmetic.add, ResourcesArithmetic.none);
  const objectsInUse = new Set([
    ...announced.map(one => `FailureDomain/${one.failureDomain}`),
    ...announced.map(one => `Rack/${one.rack}`),
    ...announced.map(one => `Service/${one.service ?? ''}`),
    ...announced
      .flatMap(one => one.running)
      .map(one => `TaskClass/${one.taskClass}`),
    ...nonTerminal.map(one => `TaskClass/${one.task.taskClass}`),
    ...nonTerminal.map(one => `Team/${one.task.team}`),
  ]);
  const isCapacityKnown = announced.length > 0;
  return {objectsInUse, ...(isCapacityKnown ? {capacity} : {})};
}
