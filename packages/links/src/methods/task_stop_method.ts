import * as v from 'valibot';
import type {LinkMethod} from '../method/link_method_types.js';

interface TaskStop {
  readonly taskId: string;
  /** The epoch to stop and every earlier one. */
  readonly epoch: number;
  /** Whether progress is saved before the stop. */
  readonly checkpoint: boolean;
}

interface TaskStopResult {
  /** Saved progress, when the task ran and was asked to save it. */
  readonly checkpoint?: string | undefined;
}

/** Entry to agent: answers once the task certainly does not run there. */
export const taskStopMethod: LinkMethod<TaskStop, TaskStopResult> = {
  name: 'task.stop',
  input: v.object({
    taskId: v.string(),
    epoch: v.number(),
    checkpoint: v.boolean(),
  }),
  result: v.object({checkpoint: v.optional(v.string())}),
};
