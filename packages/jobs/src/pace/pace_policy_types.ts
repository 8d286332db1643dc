import type {ColocatedRun} from './colocated_run_types.js';

/** Decides how fast filling runs may work beside runs that serve. */
export interface PacePolicy {
  /** New paces in percent, by key, of the filling runs that change. */
  paces(runs: readonly ColocatedRun[]): ReadonlyMap<string, number>;
}
