import type {RunPhase} from './run_phase_types.js';

/** A run that an agent answers for. */
export interface RunStatus {
  readonly task: string;
  readonly run: number;
  readonly phase: RunPhase;
  /** Newest checkpoint; empty when there is none. */
  readonly checkpoint: string;
  /** Share of its work that is done; of a lasting task 100 when it works. */
  readonly percent: number;
  /** Share of its pace that it was told to work at, 0 to 100. */
  readonly pace: number;
  /** Tail latency in milliseconds of a task that serves, else processors. */
  readonly measure: number;
  /** Whether the agent knows what the run commits. */
  readonly isDescribed: boolean;
}
