import type {TaskEvent, TaskRecord} from '@chicoryspring/contracts';

/** An event of a task and the fields that it changes in the record. */
export interface TaskStep {
  readonly event: TaskEvent;
  readonly change: Partial<TaskRecord>;
}
