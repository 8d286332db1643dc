import type {RunEndingCause} from './run_ending_cause_types.js';

/** The ending of a run, as listed by its worker. */
export interface RunEnding {
  /** Position in the list of the worker's incarnation; starts at 1. */
  readonly number: number;
  readonly task: string;
  readonly run: number;
  readonly cause: RunEndingCause;
  /** State from which another run may resume; empty if there is none. */
  readonly checkpoint: string;
}
