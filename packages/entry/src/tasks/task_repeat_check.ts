import {ChicoryspringError, type Task} from '@chicoryspring/contracts';

/** Refuses a key that named another task before. */
export function requireSameTask(known: Task, shown: Task): void {
  if (describe(known) === describe(shown)) return;
  const message = 'the key was used for another task';
  throw new ChicoryspringError('idempotency-key-reused', message);
}

function describe(task: Task): string {
  const {kind, taskClass, urgent, input, resources} = task;
  const {processors, memoryMebibytes, accelerators} = resources;
  const sizes = [processors, memoryMebibytes, accelerators];
  return JSON.stringify([kind, taskClass, urgent, input, sizes]);
}
