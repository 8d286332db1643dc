import type {ClassLoad} from '@chicoryspring/contracts';
import type {ManagedTask} from './managed_task_types.js';

/** Number and declared processors of the tasks of each class. */
export function classLoadsOf(
  tasks: readonly ManagedTask[],
): readonly ClassLoad[] {
  const loads = new Map<string, ClassLoad>();
  for (const {task} of tasks) {
    const {taskClass, resources} = task;
    const known = loads.get(taskClass);
    const declared = known?.declaredProcessors ?? 0;
    loads.set(taskClass, {
      taskClass,
      tasks: (known?.tasks ?? 0) + 1,
      declaredProcessors: declared + resources.processors,
    });
  }
  return [...loads.values()];
}
