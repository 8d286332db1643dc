import type {ShardReconciliation} from '@chicoryspring/jobs';
import type {Link} from '@chicoryspring/links';
import type {RenewalCall} from './renewal_call_types.js';

/** The renewals of the run permission of one agent that have no answer yet. */
export class UnansweredRenewals {
  private readonly calls = new Set<RenewalCall>();

  /** Adds a call that is sent now. */
  add(call: RenewalCall): void {
    this.calls.add(call);
  }

  /** Removes a call that was answered or has failed. */
  remove(call: RenewalCall): void {
    this.calls.delete(call);
  }

  /** Whether any call on the link has no answer yet. */
  isAnyOn(link: Link): boolean {
    return this.on(link).length > 0;
  }

  /** Whether a report that the reconciliation needs is on its way. */
  hasAskedFor(reconciliation: ShardReconciliation, link: Link): boolean {
    return this.on(link).some(one =>
      one.reconciliations.includes(reconciliation),
    );
  }

  /** Local instant at which a report on its way was asked for last, if any is. */
  reportAskedAt(link: Link): number | undefined {
    const asked = this.on(link).filter(one => one.wantsReport);
    return asked.at(-1)?.sentAt;
  }

  private on(link: Link): readonly RenewalCall[] {
    return [...this.calls].filter(one => one.link === link);
  }
}
