import type {ClassCount} from '../worker/class_count_types.js';

/** What one late measurement says of one class on one worker. */
export interface InterferenceObservation {
  readonly affected: string;
  /** The other tasks that ran there when it was measured. */
  readonly others: readonly ClassCount[];
  /** Time that the work took over that on an undisturbed worker, from 1. */
  readonly slowdown: number;
  /** Instant of the measurement in milliseconds, not of its arrival. */
  readonly measuredAt: number;
}
