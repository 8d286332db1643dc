import type {WorkerAnnouncement, WorkerLoad} from '@chicoryspring/contracts';
import type {ClassCount} from './class_count_types.js';

/** A worker as an entry knows it: announced facts and the last load report. */
export interface Worker {
  readonly announcement: WorkerAnnouncement;
  readonly load: WorkerLoad;
  /** Tasks that run there by the last report, and those placed since. */
  readonly running: readonly ClassCount[];
  /** Whether an agent of the worker is linked at the moment. */
  readonly isLinked: boolean;
}
