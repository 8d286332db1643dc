import {TaskName} from '@chicoryspring/contracts';
import type {WorkerView} from '../fleet/worker_view_types.js';
import type {RunPlacementPolicy} from './run_placement_policy_types.js';
import type {RunPlacementRequest} from './run_placement_request_types.js';

/**
 * Places suspects where a crash ends the fewest runs, and nothing of other jobs
 * beside an isolated run that is beginning. Another policy decides the rest.
 */
export class IsolatingRunPlacementPolicy implements RunPlacementPolicy {
  constructor(private readonly policy: RunPlacementPolicy) {}

  choose(
    request: RunPlacementRequest,
    workers: readonly WorkerView[],
  ): WorkerView | undefined {
    const admitting = workers.filter(view => admits(view, request));
    if (!request.task.crashes.isSuspect)
      return this.policy.choose(request, admitting);
    const counts = new Set(admitting.map(({runCount}) => runCount));
    const ascending = [...counts].sort((left, right) => left - right);
    for (const count of ascending) {
      const equal = admitting.filter(({runCount}) => runCount === count);
      const view = this.policy.choose(request, equal);
      if (view) return view;
    }
    return undefined;
  }

  rejectionOf(request: RunPlacementRequest, view: WorkerView): string {
    if (!admits(view, request)) return 'isolated run beginning';
    return this.policy.rejectionOf(request, view);
  }

  pace(request: RunPlacementRequest, view: WorkerView): number {
    return this.policy.pace(request, view);
  }
}

/** Whether no isolated run of another job is beginning on the worker. */
function admits(
  {isolatedJob}: WorkerView,
  {task}: RunPlacementRequest,
): boolean {
  if (isolatedJob === undefined) return true;
  return isolatedJob === TaskName.parseJobId(task.name);
}
