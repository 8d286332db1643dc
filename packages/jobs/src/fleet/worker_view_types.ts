import type {FillingRun} from '../interference/filling_run_types.js';
import type {ServingRun} from '../interference/serving_run_types.js';
import type {Resources, WorkerDescription} from '@chicoryspring/contracts';

/** A worker as placement sees it, at one instant. */
export interface WorkerView {
  readonly agent: string;
  readonly worker: WorkerDescription;
  /** What is neither committed nor promised to a run on its way. */
  readonly free: Resources;
  readonly servings: readonly ServingRun[];
  readonly fillings: readonly FillingRun[];
  /** Processors committed to runs that last; they often use fewer. */
  readonly lastingProcessors: number;
  /** Number of the runs of each step, by `JOB.OCCURRENCE.STEP`. */
  readonly runsByStep: ReadonlyMap<string, number>;
}
