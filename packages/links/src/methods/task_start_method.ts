import * as v from 'valibot';
import {
  isolationLengthSchema,
  taskSchema,
  type IsolationLength,
  type Task,
} from '@chicoryspring/contracts';
import type {LinkMethod} from '../method/link_method_types.js';

interface TaskStart {
  readonly task: Task;
  readonly epoch: number;
  readonly checkpoint?: string | undefined;
  /** Entry that owns the task. */
  readonly owner: string;
  /** Duration of the lease, unless it is renewed. */
  readonly leaseMilliseconds: number;
  /** Isolation from other tasks that begin; undefined without one. */
  readonly isolation?: IsolationLength | undefined;
}

/** Entry to agent: starts one task epoch under a lease. */
export const taskStartMethod: LinkMethod<TaskStart, null> = {
  name: 'task.start',
  input: v.object({
    task: taskSchema,
    epoch: v.number(),
    checkpoint: v.optional(v.string()),
    owner: v.string(),
    leaseMilliseconds: v.number(),
    isolation: v.optional(isolationLengthSchema),
  }),
  result: v.null(),
};
