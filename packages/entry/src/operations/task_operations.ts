import * as v from 'valibot';
import {
  taskRecordSchema,
  taskEndingSchema,
  taskSchema,
  type Task,
  type TaskEnding,
  type TaskRecord,
} from '@chicoryspring/contracts';
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

/** Operations on tasks. */
export const taskOperations = {
  submit,
  ended,
  get: onTask('task.get'),
  /** Waits until the task has ended or the deadline passes. */
  wait: onTask('task.wait'),
  cancel: onTask('task.cancel'),
};
