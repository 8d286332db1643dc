import type {Task} from '@chicoryspring/contracts';
import type {PlacementWeights} from './placement_weights_types.js';

/** One task to place, and the constraints on its worker. */
export interface PlacementRequest {
  readonly task: Task;
  /** Workers on which the task failed, and ejected or probed workers. */
  readonly excludedWorkers: ReadonlySet<string>;
  /** Failure domains that are out of service. */
  readonly domainsOut: ReadonlySet<string>;
  readonly weights: PlacementWeights;
  /** The current instant in milliseconds. */
  readonly now: number;
}
