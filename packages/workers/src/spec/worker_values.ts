import type {Task, WorkerAnnouncement} from '@chicoryspring/contracts';

/** Default values for the specs of this package. */
export const WORKER_VALUES: {
  readonly announcement: WorkerAnnouncement;
  readonly task: Task;
} = {
  announcement: {
    worker: 'worker-1',
    failureDomain: 'kinangop',
    rack: 'rack-1',
    capacity: {processors: 16, memoryMebibytes: 60_000, accelerators: 0},
    service: 'records',
    slots: 8,
    running: [],
    draining: false,
  },
  task: {
    id: 'task-1',
    caller: 'rangers',
    team: 'trust',
    kind: 'run',
    taskClass: 'reconcile',
    urgent: false,
    resources: {processors: 2, memoryMebibytes: 2_000, accelerators: 0},
    idempotencyKey: '',
    input: '',
  },
};
