import type {Worker} from '../worker/worker_types.js';

/**
 * Workers that may have enough free capacity for one demand, in ascending order
 * of whole free processors. The reader must still check that the demand fits.
 */
export interface WorkerCandidates {
  readonly count: number;
  /** The worker at a position from 0 to `count` - 1. */
  at(position: number): Worker;
}
