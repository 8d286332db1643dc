import type {RunInProgress} from './run_in_progress_types.js';

/** The runs on workers, as the owner knows them. */
export interface RunsInProgress {
  /** The runs of this owner on an agent's worker. */
  runsOn(agent: string, now: number): readonly RunInProgress[];
  /** Whether a run of another owner on the worker seems to last. */
  hasForeignLastingRun(agent: string): boolean;
}
