import * as v from 'valibot';
import {
  taskRecordSchema,
  taskEndingSchema,
  taskSchema,
  type Task,
  type TaskEnding,
  type TaskRecord,
} from '@chicoryspring/contracts';
import {taskExplanationSchema} from '../explanation/task_explanation_schema.js';
import type {TaskExplanation} from '../explanation/task_explanation_types.js';
import type {Operation} from './operation_types.js';

interface TaskById {
  readonly id: string;
}

const byId: v.GenericSchema<unknown, TaskById> = v.object({id: v.string()});

function onTask(name: string): Operation<TaskById, TaskRecord> {
  return {
    name,
    input: byId,
    result: taskRecordSchema,
    key: ({id}) => id,
    isIdempotent: true,
  };
}

const submit: Operation<Task, TaskRecord> = {
  name: 'task.submit',
  input: taskSchema,
  result: taskRecordSchema,
  key: task => task.id,
  isIdempotent: true,
};

const ended: Operation<TaskEnding, null> = {
  name: 'task.ended',
  input: taskEndingSchema,
  result: v.null(),
  key: ending => ending.taskId,
  isIdempotent: true,
};

const explain: Operation<TaskById, TaskExplanation> = {
  name: 'task.explain',
  input: byId,
  result: taskExplanationSchema,
  key: ({id}) => id,
  isIdempotent: true,
};

/** Operations on tasks. */
export const taskOperations = {
  submit,
  ended,
  /** Explains why the task waits, or where it was placed. */
  explain,
  get: onTask('task.get'),
  /** Waits until the task is terminal or the deadline passes. */
  wait: onTask('task.wait'),
  cancel: onTask('task.cancel'),
};
