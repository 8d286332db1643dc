import type {Resources} from '../resources/resources_types.js';
import type {CrashedRun} from './crashed_run_types.js';
import type {RunEnding} from './run_ending_types.js';
import type {RunRefusal} from './run_refusal_types.js';
import type {RunStatus} from './run_status_types.js';
import type {WorkerDescription} from './worker_description_types.js';

/** Complete state of a worker and its runs, as reported by its agent. */
export interface WorkerReport {
  readonly agent: string;
  /** Incarnation: distinguishes the agent from previous ones of its name. */
  readonly agentLife: string;
  /** Increases with each report, also from one agent incarnation to the next. */
  readonly version: number;
  /** The worker; absent while none is registered. */
  readonly worker?: WorkerDescription | undefined;
  /**
   * Whether the report has all runs that there may be: the worker has listed them
   * to this agent incarnation, or no lease of any other can last.
   */
  readonly isComplete: boolean;
  /** Free capacity: resources that are not reserved. */
  readonly free: Resources;
  readonly runs: readonly RunStatus[];
  /** Endings that are not yet settled. */
  readonly endings: readonly RunEnding[];
  /**
   * Runs that had begun shortly before the worker or an earlier incarnation of
   * it crashed, until they are settled; absent from an earlier release.
   */
  readonly crashedRuns?: readonly CrashedRun[] | undefined;
  /**
   * Incarnations of the worker that have crashed when no run had just begun, the
   * newest last; absent from an earlier release.
   */
  readonly crashedLives?: readonly string[] | undefined;
  /** Runs that the worker rejected and never started, the newest last. */
  readonly refusals: readonly RunRefusal[];
}
