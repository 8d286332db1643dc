import type {RunOrder} from '@chicoryspring/contracts';
import type {OwnedJob, OwnedTask} from '@chicoryspring/jobs';
import {RunAgentClient} from './run_agent_client.js';

/** Builds the start order of a run; runs of suspects are isolated. */
export function buildOrder(
  job: OwnedJob,
  task: OwnedTask,
  run: number,
  pace: number,
): RunOrder {
  return {
    task: task.name,
    run,
    spec: job.record.job.spec,
    pace,
    description: RunAgentClient.descriptionOf(task),
    ...(task.checkpoint ? {checkpoint: task.checkpoint} : {}),
    ...(task.crashes.isSuspect ? {isIsolated: true} : {}),
    ...(task.crashes.isLateSuspect ? {hasLongProbation: true} : {}),
  };
}
