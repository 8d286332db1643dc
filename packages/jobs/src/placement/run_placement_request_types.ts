import type {OwnedTask} from '../job/owned_task.js';

/** A task to place, with the constraints of its queue. */
export interface RunPlacementRequest {
  readonly task: OwnedTask;
  readonly service: string;
  /** Queue of the job; absent where run times are not learned. */
  readonly queue?: string | undefined;
  /** Priority of the job, a lower number is more urgent; absent for the lowest. */
  readonly priority?: number | undefined;
  /** Failure domains out of service, in which nothing is started. */
  readonly domainsOut: readonly string[];
  readonly now: number;
  /** Whether the job has had no run for so long that it takes a poor worker. */
  readonly isStarved: boolean;
}
