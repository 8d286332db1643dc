import type {OwnedJob} from '../job/owned_job.js';
import type {RunPlacementRequest} from '../placement/run_placement_request_types.js';

/** Time for which a job without a run may wait for a better worker. */
const STARVED_MILLISECONDS = 1_500;
/** Time after which it takes a worker at any pace. */
const NEGLECTED_MILLISECONDS = 30_000;

/** How a job's wait for a run changes which workers it takes. */
export class JobWait {
  static of(
    {idleSince}: Pick<OwnedJob, 'idleSince'>,
    now: number,
  ): Pick<RunPlacementRequest, 'isStarved' | 'isNeglected'> {
    const idleMilliseconds = now - (idleSince ?? now);
    return {
      isStarved: idleMilliseconds > STARVED_MILLISECONDS,
      isNeglected: idleMilliseconds > NEGLECTED_MILLISECONDS,
    };
  }
}
