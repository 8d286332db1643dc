import type {Resources} from '../resources/resources_types.js';

/** Description of a worker by its agent. */
export interface WorkerDescription {
  readonly worker: string;
  /** Incarnation: distinguishes the worker from previous ones of its name. */
  readonly life: string;
  readonly service: string;
  readonly failureDomain: string;
  /** Labels, among them the kind and the rack of the worker. */
  readonly labels: readonly string[];
  readonly capacity: Resources;
  /** Whether it is draining or has deregistered, so accepts no new work. */
  readonly isLeaving: boolean;
  /** Whether it has said itself that it drains; absent from an earlier release. */
  readonly isDraining?: boolean | undefined;
  /** Whether it has responded to its agent recently. */
  readonly isAnswering: boolean;
}
