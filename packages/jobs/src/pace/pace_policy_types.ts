import type {PaceRun} from './pace_run_types.js';

/** Decides how fast filling runs may work beside runs that serve. */
export interface PacePolicy {
  /** New paces in percent, by key, of the filling runs that change. */
  paces(runs: readonly PaceRun[]): ReadonlyMap<string, number>;
}
