import type {Resources} from '../resources/resources_types.js';
import type {ClassLoad} from './class_load_types.js';

/** The load of a worker as its agent last reported it. */
export interface WorkerLoad {
  readonly free: Resources;
  /** Requests that the target serves or queues. */
  readonly requestsInFlight: number;
  /** Recent 99th percentile of the target's answers, in milliseconds. */
  readonly tailMilliseconds: number;
  /** Measured use of the worker; arrives late. */
  readonly measured: Resources;
  /** What ran, by class; absent from an agent that does not say. */
  readonly classes?: readonly ClassLoad[] | undefined;
}
