import type {RunEndingCause} from './run_ending_cause_types.js';

/** The end of a run, as its worker lists it. */
export interface RunEnding {
  /** Position in the list of the worker's life; starts at 1. */
  readonly number: number;
  readonly task: string;
  readonly run: number;
  readonly cause: RunEndingCause;
  /** State from which another run may resume; empty when there is none. */
  readonly checkpoint: string;
}
