import type {BestEffortRun} from '../interference/best_effort_run_types.js';
import type {LatencyCriticalRun} from '../interference/latency_critical_run_types.js';
import type {Resources, WorkerDescription} from '@chicoryspring/contracts';

/** Snapshot of a worker for placement. */
export interface WorkerView {
  readonly agent: string;
  readonly worker: WorkerDescription;
  /** Capacity neither reserved nor assigned to a run that is starting. */
  readonly free: Resources;
  readonly latencyCriticalRuns: readonly LatencyCriticalRun[];
  readonly bestEffortRuns: readonly BestEffortRun[];
  /** Processors reserved by long-running tasks; they often use fewer. */
  readonly longRunningProcessors: number;
  /** Number of runs of all owners here. */
  readonly runCount: number;
  /** Job of an isolated run that is beginning here; only its runs may join. */
  readonly isolatedJob?: string | undefined;
  /** Number of runs of each step here, keyed by `JOB.OCCURRENCE.STEP`. */
  readonly runsByStep: ReadonlyMap<string, number>;
}
