import type {Resources} from '../resources/resources_types.js';

/** Announcement of a worker and its target by the agent to each entry. */
export interface WorkerAnnouncement {
  /** Name of the worker, unique in the fleet. */
  readonly worker: string;
  readonly failureDomain: string;
  readonly rack: string;
  readonly capacity: Resources;
  /** Service of the target beside the agent; absent when there is none. */
  readonly service?: string | undefined;
  /** Number of requests that the target serves concurrently. */
  readonly slots: number;
  /** Tasks that the worker is running. */
  readonly running: readonly {
    readonly taskId: string;
    readonly epoch: number;
    readonly taskClass: string;
    readonly resources: Resources;
  }[];
  readonly draining: boolean;
}
