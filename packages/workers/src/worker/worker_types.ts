import type {WorkerAnnouncement, WorkerLoad} from '@chicoryspring/contracts';

/** A worker as an entry knows it: announced facts and the last load report. */
export interface Worker {
  readonly announcement: WorkerAnnouncement;
  readonly load: WorkerLoad;
  /** Whether an agent of the worker is linked at the moment. */
  readonly isLinked: boolean;
}
