import * as v from 'valibot';
import type {LinkMethod} from '../method/link_method_types.js';

interface TaskStop {
  readonly taskId: string;
  /** Task epoch to stop, together with every earlier one. */
  readonly epoch: number;
  /** Whether to save a checkpoint before the stop. */
  readonly checkpoint: boolean;
}

interface TaskStopResult {
  /** The checkpoint, if one was requested and the task was running. */
  readonly checkpoint?: string | undefined;
}

/** Entry to agent: stops a task; returns once it is certainly stopped. */
export const taskStopMethod: LinkMethod<TaskStop, TaskStopResult> = {
  name: 'task.stop',
  input: v.object({
    taskId: v.string(),
    epoch: v.number(),
    checkpoint: v.boolean(),
  }),
  result: v.object({checkpoint: v.optional(v.string())}),
};
