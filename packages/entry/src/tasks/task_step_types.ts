import type {TaskEvent, TaskRecord} from '@chicoryspring/contracts';

/** An event of a task, and what it changes in the record. */
export interface TaskStep {
  readonly event: TaskEvent;
  readonly change: Partial<TaskRecord>;
}
