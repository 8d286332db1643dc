import type {RunEnding} from '@chicoryspring/contracts';
import type {ListedRun} from './listed_run_types.js';

/**
 * Answer of a worker to a lease renewal.
 *
 * `held` accepts it. `fenced` says that another agent process has used a higher
 * fencing token, `other-life` that the worker has restarted since.
 */
export type LeaseRenewalAnswer =
  | {
      readonly kind: 'held';
      readonly running: readonly ListedRun[];
      readonly endings: readonly RunEnding[];
      /** Whether no later ending is missing for want of room. */
      readonly hasAllEndings: boolean;
    }
  | {readonly kind: 'fenced' | 'other-life' | 'unhealthy'};
