import type {ShardReconciliation} from '@chicoryspring/jobs';
import type {Link} from '@chicoryspring/links';

/** One renewal of the run permission of an agent. */
export interface RenewalCall {
  readonly link: Link;
  /** Local instant in milliseconds. */
  readonly sentAt: number;
  readonly wantsReport: boolean;
  /** Reconciliations for which the agent reports with its answer. */
  readonly reconciliations: readonly ShardReconciliation[];
}
