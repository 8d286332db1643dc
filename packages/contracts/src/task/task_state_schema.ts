import * as v from 'valibot';
import type {TaskState} from './task_state_types.js';

/** Schema of the state of a task. */
export const taskStateSchema: v.GenericSchema<unknown, TaskState> = v.picklist([
  'waiting',
  'starting',
  'running',
  'stopping',
  'cancelling',
  'finished',
  'failed',
  'cancelled',
]);
