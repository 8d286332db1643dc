import type {OwnedJob} from '../job/owned_job.js';
import type {RunPlacementRequest} from './run_placement_request_types.js';

/** Time for which a job without a run may wait for a better worker. */
const STARVED_MILLISECONDS = 1_500;

/** How a job's wait for a run changes which workers it takes. */
export class JobWait {
  static of(
    {idleSince}: Pick<OwnedJob, 'idleSince'>,
    now: number,
  ): Pick<RunPlacementRequest, 'isStarved'> {
    return {isStarved: now - (idleSince ?? now) > STARVED_MILLISECONDS};
  }
}
