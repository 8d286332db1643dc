import type {WorkerAnnouncement, WorkerLoad} from '@chicoryspring/contracts';
import type {ClassCount} from './class_count_types.js';

/** An entry's view of a worker: its announcement and its last load report. */
export interface Worker {
  readonly announcement: WorkerAnnouncement;
  readonly load: WorkerLoad;
  /** Running tasks of the last load report, and tasks placed since. */
  readonly running: readonly ClassCount[];
  /** Whether the worker's agent has an open link to this entry. */
  readonly isLinked: boolean;
}
