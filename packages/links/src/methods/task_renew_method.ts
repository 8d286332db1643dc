import * as v from 'valibot';
import type {LinkMethod} from '../method/link_method_types.js';

interface TaskRenewal {
  readonly tasks: readonly {readonly taskId: string; readonly epoch: number}[];
  readonly leaseMilliseconds: number;
}

interface TaskRenewalResult {
  /** Renewed tasks that the worker does not run. */
  readonly missing: readonly string[];
}

/** Entry to agent: renews the leases of tasks that the entry owns. */
export const taskRenewMethod: LinkMethod<TaskRenewal, TaskRenewalResult> = {
  name: 'task.renew',
  input: v.object({
    tasks: v.array(v.object({taskId: v.string(), epoch: v.number()})),
    leaseMilliseconds: v.number(),
  }),
  result: v.object({missing: v.array(v.string())}),
};
