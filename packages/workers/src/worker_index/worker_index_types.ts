import type {Resources} from '@chicoryspring/contracts';
import type {Worker} from '../worker/worker_types.js';
import type {WorkerCandidates} from './worker_candidates_types.js';

/** The workers of the fleet, found by their free capacity. */
export interface WorkerIndex {
  /** Failure domains that have a worker in the index. */
  readonly failureDomains: readonly string[];
  readonly size: number;
  /** The worker at a position from 0 to `size` - 1, in order of arrival. */
  at(position: number): Worker;
  get(name: string): Worker | undefined;
  /** Workers outside the given failure domains that may hold the demand. */
  candidates(
    demand: Resources,
    domainsOut: ReadonlySet<string>,
  ): WorkerCandidates;
}
