import {ResourcesArithmetic, type Resources} from '@chicoryspring/contracts';
import {RunFit} from '@chicoryspring/jobs';
import type {ManagedRun} from './managed_run.js';

/** What the runs leave uncommitted; nothing while one of them is unknown. */
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
