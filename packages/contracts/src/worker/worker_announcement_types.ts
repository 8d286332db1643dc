import type {Resources} from '../resources/resources_types.js';

/** What an agent tells each entry about its worker and target. */
export interface WorkerAnnouncement {
  /** Name of the worker, unique in the fleet. */
  readonly worker: string;
  readonly failureDomain: string;
  readonly rack: string;
  readonly capacity: Resources;
  /** Service of the target beside the agent; absent when there is none. */
  readonly service?: string | undefined;
  /** Requests that the target serves at once. */
  readonly slots: number;
  /** Tasks that the worker runs at the moment. */
  readonly running: readonly {
    readonly taskId: string;
    readonly epoch: number;
    readonly taskClass: string;
    readonly resources: Resources;
  }[];
  readonly draining: boolean;
}
