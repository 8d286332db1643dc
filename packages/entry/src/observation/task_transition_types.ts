import type {TaskEvent, TaskRecord} from '@chicoryspring/contracts';

/** A durable state transition of a task. */
export interface TaskTransition {
  readonly event: TaskEvent;
  readonly before: TaskRecord;
  readonly after: TaskRecord;
}
