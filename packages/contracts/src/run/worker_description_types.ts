import type {Resources} from '../resources/resources_types.js';

/** A worker as its agent describes it. */
export interface WorkerDescription {
  readonly worker: string;
  /** Tells this life of the worker from earlier ones of the same name. */
  readonly life: string;
  readonly service: string;
  readonly failureDomain: string;
  /** Kind and rack of the worker, among others. */
  readonly labels: readonly string[];
  readonly capacity: Resources;
  /** Whether it takes no new work, since it leaves. */
  readonly isLeaving: boolean;
  /** Whether it has answered its agent lately. */
  readonly isAnswering: boolean;
}
