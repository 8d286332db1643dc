import type {TaskRecord} from '@chicoryspring/contracts';

/** A record that uses its eviction count to count the changes made to it. */
export function countedRecord(key: string, count: number): TaskRecord {
  const resources = {processors: 1, memoryMebibytes: 1, accelerators: 0};
  const task = {
    id: key,
    caller: 'rangers',
    team: 'trust',
    kind: 'run' as const,
    taskClass: 'reconcile',
    urgent: false,
    resources,
    idempotencyKey: key,
    input: '',
  };
  return {
    kind: 'task',
    key,
    task,
    state: 'waiting',
    epoch: 0,
    failedWorkers: [],
    evictions: count,
  };
}
