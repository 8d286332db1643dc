import type {OwnedTask} from '../job/owned_task.js';

/** A task that needs a worker. */
export interface PlacementRequest {
  readonly task: OwnedTask;
  readonly service: string;
  /** Failure domains that start nothing. */
  readonly domainsOut: readonly string[];
  readonly now: number;
  /** Whether its job has had nothing running for so long that it must. */
  readonly isStarved: boolean;
}
