import {ChicoryspringError, type Task} from '@chicoryspring/contracts';

/** Throws if an idempotency key was already used for another task. */
export function requireSameTask(recorded: Task, presented: Task): void {
  if (contentOf(recorded) === contentOf(presented)) return;
  const message = 'the key was used for another task';
  throw new ChicoryspringError('idempotency-key-reused', message);
}

function contentOf(task: Task): string {
  const {kind, taskClass, urgent, input, resources} = task;
  const {processors, memoryMebibytes, accelerators} = resources;
  const sizes = [processors, memoryMebibytes, accelerators];
  return JSON.stringify([kind, taskClass, urgent, input, sizes]);
}
