import type {RunPhase} from './run_phase_types.js';

/** Status of a run that an agent manages. */
export interface RunStatus {
  readonly task: string;
  readonly run: number;
  readonly phase: RunPhase;
  /** Newest checkpoint; empty if there is none. */
  readonly checkpoint: string;
  /** Completed work in percent; 100 for a long-running task that works. */
  readonly percent: number;
  /** Pace that was set for it: CPU share in percent, 0 to 100. */
  readonly pace: number;
  /**
   * Tail latency of a latency-critical run in milliseconds, else the processors
   * in use in thousandths of a processor. 0 while nothing is measured.
   */
  readonly measure: number;
  /** Whether the agent has the description of the run. */
  readonly isDescribed: boolean;
  /** Whether only runs of the same job may start beside it now. */
  readonly isIsolated?: boolean | undefined;
  /**
   * Whether the worker listed the run after its probation, so that its start did
   * not crash the worker; absent before, and from an earlier release.
   */
  readonly hasPassedProbation?: boolean | undefined;
}
