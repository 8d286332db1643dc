import type {Resources} from '../resources/resources_types.js';
import type {RunEnding} from './run_ending_types.js';
import type {RunStatus} from './run_status_types.js';
import type {WorkerDescription} from './worker_description_types.js';

/** Everything that an agent answers for, at one instant. */
export interface WorkerReport {
  readonly agent: string;
  /** Tells this life of the agent from earlier ones of the same name. */
  readonly agentLife: string;
  /** Rises with each report of one life of the agent. */
  readonly version: number;
  /** The worker; absent while there is none. */
  readonly worker?: WorkerDescription | undefined;
  /** Whether the worker has listed its runs to this life of the agent. */
  readonly isComplete: boolean;
  /** What is not committed. */
  readonly free: Resources;
  readonly runs: readonly RunStatus[];
  /** Ends that are not yet settled. */
  readonly endings: readonly RunEnding[];
  /** Runs that were refused by the worker and never began, with reasons. */
  readonly refusals: readonly {
    readonly task: string;
    readonly run: number;
    readonly reason: string;
  }[];
}
