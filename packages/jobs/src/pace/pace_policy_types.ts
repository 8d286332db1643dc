import type {ColocatedRun} from './colocated_run_types.js';

/**
 * Sets the pace of best-effort runs that share a worker with latency-critical
 * runs: the CPU share in percent at which a run may work.
 */
export interface PacePolicy {
  /** New paces in percent by run key, only of the runs that change. */
  paces(runs: readonly ColocatedRun[]): ReadonlyMap<string, number>;
}
