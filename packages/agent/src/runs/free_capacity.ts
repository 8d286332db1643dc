import {ResourcesArithmetic, type Resources} from '@chicoryspring/contracts';
import {RunFit} from '@chicoryspring/jobs/placement/run_fit.js';
import type {ManagedRun} from './managed_run.js';

/**
 * Capacity less what the runs reserve.
 *
 * None if a run has no description, since its reservation is unknown.
 */
export function freeCapacity(
  capacity: Resources,
  runs: readonly ManagedRun[],
): Resources {
  let free = capacity;
  for (const {description} of runs) {
    if (!description) return ResourcesArithmetic.none;
    free = ResourcesArithmetic.subtract(free, RunFit.commitmentOf(description));
  }
  return free;
}
