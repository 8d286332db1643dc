import type {OwnedJob} from '../job/owned_job.js';

/** Time for which a job without a run may wait for a better worker. */
const STARVED_MILLISECONDS = 1_500;

/** Whether a job has been without a run for so long that it takes a poor worker. */
export function isStarved(
  {idleSince}: Pick<OwnedJob, 'idleSince'>,
  now: number,
): boolean {
  return now - (idleSince ?? now) > STARVED_MILLISECONDS;
}
