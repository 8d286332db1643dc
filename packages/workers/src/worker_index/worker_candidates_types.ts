import type {Worker} from '../worker/worker_types.js';

/**
 * Workers that may have room for one demand, from the least to the most free
 * processors. Memory and accelerators are for the reader to check.
 */
export interface WorkerCandidates {
  readonly count: number;
  /** The worker at a position from 0 to `count` - 1. */
  at(position: number): Worker;
}
