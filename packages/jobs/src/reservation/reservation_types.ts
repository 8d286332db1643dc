import type {OwnedTask} from '../job/owned_task.js';
import type {ReservedCapacity} from './reserved_capacity_types.js';

/** Capacity kept for a task or a gang that fits on no worker yet. */
export interface Reservation {
  readonly job: string;
  /** Step and occurrence, `JOB.OCCURRENCE.STEP`; its tasks may all use it. */
  readonly step: string;
  /** The task, or the members of the gang. */
  readonly tasks: readonly OwnedTask[];
  /** Priority of the job; a lower number is more urgent. */
  readonly priority: number;
  readonly service: string;
  /** One for each worker. */
  readonly parts: readonly ReservedCapacity[];
  readonly madeAt: number;
  /** Local instant from which the task is expected to fit. */
  readonly from: number;
  /** Local instant at which it ends and is made again. */
  readonly deadline: number;
  /** Whether a run may start there only if it leaves the capacity free now. */
  readonly isStrict: boolean;
  /** Number of times that it was made again at its deadline. */
  readonly renewals: number;
}
