import type {RunPhase} from './run_phase_types.js';

/** Status of a run that an agent manages. */
export interface RunStatus {
  readonly task: string;
  readonly run: number;
  readonly phase: RunPhase;
  /** Newest checkpoint; empty if there is none. */
  readonly checkpoint: string;
  /** Finished share of the work; 100 for a long-running task that works. */
  readonly percent: number;
  /** Pace that was set for it: CPU share in percent. */
  readonly pace: number;
  /**
   * Tail latency in milliseconds of a latency-critical run; for other runs the
   * number of processors that they use.
   */
  readonly measure: number;
  /** Whether the agent has the description of the run. */
  readonly isDescribed: boolean;
}
