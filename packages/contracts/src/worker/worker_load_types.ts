import type {Resources} from '../resources/resources_types.js';
import type {ClassLoad} from './class_load_types.js';

/** Load of a worker, as last reported by its agent. */
export interface WorkerLoad {
  readonly free: Resources;
  /** Requests in service or queued at the target. */
  readonly requestsInFlight: number;
  /** Recent 99th percentile of the target's latency, in milliseconds. */
  readonly tailMilliseconds: number;
  /** Measured resource usage of the worker; reported with a delay. */
  readonly measured: Resources;
  /** Load by task class; absent if the agent does not report it. */
  readonly classes?: readonly ClassLoad[] | undefined;
}
