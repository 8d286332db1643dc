import type {Resources} from '@chicoryspring/contracts';
import type {Worker} from '../worker/worker_types.js';
import type {WorkerCandidates} from './worker_candidates_types.js';

/** The workers of the fleet, indexed by free capacity. */
export interface WorkerIndex {
  /** Failure domains of which the index has or had a worker. */
  readonly failureDomains: readonly string[];
  readonly size: number;
  /** The worker at a position from 0 to `size` - 1, by first announcement. */
  at(position: number): Worker;
  get(name: string): Worker | undefined;
  /** Workers outside `domainsOut` with possibly enough free capacity. */
  candidates(
    demand: Resources,
    domainsOut: ReadonlySet<string>,
  ): WorkerCandidates;
}
