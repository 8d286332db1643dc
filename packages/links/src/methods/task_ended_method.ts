import * as v from 'valibot';
import {taskEndingSchema, type TaskEnding} from '@chicoryspring/contracts';
import type {LinkMethod} from '../method/link_method_types.js';

/** Agent to entry: reports an ending; returns once the ending is durable. */
export const taskEndedMethod: LinkMethod<TaskEnding, null> = {
  name: 'task.ended',
  input: taskEndingSchema,
  result: v.null(),
};
