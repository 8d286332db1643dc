import type {JobStep} from '@chicoryspring/contracts';
import type {OwnedJob} from '../job/owned_job.js';

/**
 * Workers that the long-running tasks of a job need at least, since only so many
 * of a step may share one; 0 without such a limit.
 */
export function spreadWorkersOf({record}: OwnedJob): number {
  return record.job.steps.reduce(
    (most, step) => Math.max(most, workersOf(step)),
    0,
  );
}

function workersOf({count, isLasting, mostPerWorker}: JobStep): number {
  if (!isLasting || !mostPerWorker) return 0;
  return Math.ceil(count / mostPerWorker);
}
