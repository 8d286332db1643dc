import type {Task} from '@chicoryspring/contracts';

/** One task to place, and where it may not go. */
export interface PlacementRequest {
  readonly task: Task;
  /** Workers on which the task failed, and workers that are ejected. */
  readonly excludedWorkers: ReadonlySet<string>;
  /** Failure domains that are out of service. */
  readonly domainsOut: ReadonlySet<string>;
  /** The current instant in milliseconds. */
  readonly now: number;
}
