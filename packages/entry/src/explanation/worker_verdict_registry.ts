import type {Resources} from '@chicoryspring/contracts';
import type {WorkerVerdict} from './worker_verdict_types.js';

function tooLittleFree(resource: keyof Resources, name: string): WorkerVerdict {
  return {
    verdict: `too little free: ${name}`,
    applies: (record, worker) =>
      record.task.resources[resource] > worker.load.free[resource],
  };
}

function tooSmall(resource: keyof Resources, name: string): WorkerVerdict {
  return {
    verdict: `too small: ${name}`,
    applies: (record, worker) =>
      record.task.resources[resource] > worker.announcement.capacity[resource],
  };
}

/** Reasons against placing a task on a worker; the first that applies wins. */
export const WORKER_VERDICT_REGISTRY: readonly WorkerVerdict[] = [
  {
    verdict: 'failure domain out of service',
    applies: (_, worker, domainsOut) =>
      domainsOut.includes(worker.announcement.failureDomain),
  },
  {
    verdict: 'agent not linked',
    applies: (_, worker) => !worker.isLinked,
  },
  {
    verdict: 'agent is leaving',
    applies: (_, worker) => worker.announcement.draining,
  },
  {
    verdict: 'the task failed here before',
    applies: (record, worker) =>
      record.failedWorkers.includes(worker.announcement.worker),
  },
  tooSmall('processors', 'processors'),
  tooSmall('memoryMebibytes', 'memory'),
  tooSmall('accelerators', 'accelerators'),
  tooLittleFree('processors', 'processors'),
  tooLittleFree('memoryMebibytes', 'memory'),
  tooLittleFree('accelerators', 'accelerators'),
];
