import type {OwnedTask} from '../job/owned_task.js';

/** A task to place, with the constraints of its queue. */
export interface RunPlacementRequest {
  readonly task: OwnedTask;
  readonly service: string;
  /** Failure domains out of service, in which nothing is started. */
  readonly domainsOut: readonly string[];
  readonly now: number;
  /** Whether the job has had no run for so long that it takes a poor worker. */
  readonly isStarved: boolean;
}
