import type {BestEffortRun} from '../interference/best_effort_run_types.js';
import type {LatencyCriticalRun} from '../interference/latency_critical_run_types.js';
import type {Resources, WorkerDescription} from '@chicoryspring/contracts';

/** A worker as placement sees it, at one instant. */
export interface WorkerView {
  readonly agent: string;
  readonly worker: WorkerDescription;
  /** What is neither committed nor promised to a run on its way. */
  readonly free: Resources;
  readonly latencyCriticalRuns: readonly LatencyCriticalRun[];
  readonly bestEffortRuns: readonly BestEffortRun[];
  /** Processors committed to runs that last; they often use fewer. */
  readonly longRunningProcessors: number;
  /** Number of the runs of each step, by `JOB.OCCURRENCE.STEP`. */
  readonly runsByStep: ReadonlyMap<string, number>;
}
