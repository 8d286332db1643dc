import type {Resources} from '../resources/resources_types.js';
import type {CrashedRun} from './crashed_run_types.js';
import type {RunEnding} from './run_ending_types.js';
import type {RunKey} from './run_key_types.js';
import type {RunRefusal} from './run_refusal_types.js';
import type {RunStatus} from './run_status_types.js';
import type {WorkerDescription} from './worker_description_types.js';

/** What has changed from one report of an agent to the next on the same link. */
export interface WorkerReportChange {
  readonly agent: string;
  readonly agentLife: string;
  /** Version of the report that the change applies to. */
  readonly baseVersion: number;
  /** Version of the report that results. */
  readonly version: number;
  /** The worker; null if there is none any more, absent if unchanged. */
  readonly worker?: WorkerDescription | null | undefined;
  readonly isComplete?: boolean | undefined;
  readonly free?: Resources | undefined;
  /** Runs that are new or have changed. */
  readonly runs?: readonly RunStatus[] | undefined;
  readonly removedRuns?: readonly RunKey[] | undefined;
  /** Endings that are new. */
  readonly endings?: readonly RunEnding[] | undefined;
  /** Numbers of the endings that are settled. */
  readonly settledEndings?: readonly number[] | undefined;
  /** Refusals that are new. */
  readonly refusals?: readonly RunRefusal[] | undefined;
  readonly crashedRuns?: readonly CrashedRun[] | undefined;
  readonly crashedLives?: readonly string[] | undefined;
}
