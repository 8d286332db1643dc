import type {RunPlacementRequest} from '../placement/run_placement_request_types.js';

/** Pace in percent below which a best-effort run waits for another worker. */
const MIN_PACE = 75;
/** The same for a run of a job that has had no run for some time. */
const MIN_STARVED_PACE = 30;

/** Lowest pace, in percent, at which a best-effort run is placed. */
export class PaceFloor {
  static of({isStarved, isNeglected}: RunPlacementRequest): number {
    // However little the latency-critical runs can spare, no job waits for ever.
    if (isNeglected) return 0;
    return isStarved ? MIN_STARVED_PACE : MIN_PACE;
  }
}
