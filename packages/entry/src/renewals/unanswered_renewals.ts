import type {ShardReconciliation} from '@chicoryspring/jobs';
import type {Link} from '@chicoryspring/links';
import type {RenewalCall} from './renewal_call_types.js';

/** The renewals of run permissions that have no answer yet, by link. */
export class UnansweredRenewals {
  private readonly calls = new Map<Link, readonly RenewalCall[]>();

  /** Adds a call that is sent now. */
  add(call: RenewalCall): void {
    this.calls.set(call.link, [...this.on(call.link), call]);
  }

  /** Removes a call that was answered or has failed. */
  remove(call: RenewalCall): void {
    const others = this.on(call.link).filter(one => one !== call);
    if (others.length > 0) this.calls.set(call.link, others);
    else this.calls.delete(call.link);
  }

  /** Whether any call on the link has no answer yet. */
  isAnyOn(link: Link): boolean {
    return this.calls.has(link);
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
    return this.calls.get(link) ?? [];
  }
}
