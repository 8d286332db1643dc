import type {WorkerReport} from '@chicoryspring/contracts';
import type {InterferenceRow} from '@chicoryspring/jobs';

/** What an agent answers to a renewal of its run permission. */
export interface RenewalResult {
  readonly report?: WorkerReport | undefined;
  readonly harms?: readonly InterferenceRow[] | undefined;
}
