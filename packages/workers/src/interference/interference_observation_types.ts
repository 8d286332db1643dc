import type {ClassCount} from '../worker/class_count_types.js';

/** One measurement of a class on a worker; may arrive late. */
export interface InterferenceObservation {
  /** Class whose slowdown was measured. */
  readonly affected: string;
  /** The other tasks that ran on the worker at the time. */
  readonly others: readonly ClassCount[];
  /** Time that the work took divided by that without interference, from 1. */
  readonly slowdown: number;
  /** Instant of the measurement in milliseconds, not of its arrival. */
  readonly measuredAt: number;
}
