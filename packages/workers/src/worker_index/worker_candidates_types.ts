import type {Worker} from '../worker/worker_types.js';

/**
 * Workers that may have enough free capacity for one demand, in ascending order
 * of whole free processors. The caller must still check the memory, the number
 * of accelerators and fractions of a processor.
 */
export interface WorkerCandidates {
  readonly count: number;
  /** The worker at a position from 0 to `count` - 1. */
  at(position: number): Worker;
}
