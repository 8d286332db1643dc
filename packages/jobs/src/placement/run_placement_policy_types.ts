import type {WorkerView} from '../fleet/worker_view_types.js';
import type {RunRequest} from './run_request_types.js';

/** Chooses the worker for a run. */
export interface RunPlacementPolicy {
  /** The best worker; undefined when none has room. */
  choose(
    request: RunRequest,
    workers: readonly WorkerView[],
  ): WorkerView | undefined;
}
