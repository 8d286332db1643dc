import type {Clock} from '@chicoryspring/contracts';
import type {ShardReconciliation} from '@chicoryspring/jobs';
import type {FleetAgent} from '../jobs/fleet_agent.js';
import type {InterferenceObserver} from '../jobs/interference_observer.js';
import {ShardReconciliations} from '../reconciliation/shard_reconciliations.js';
import type {ApplyReport} from './apply_report_types.js';
import type {RenewalCall} from './renewal_call_types.js';
import type {RenewalResult} from './renewal_result_types.js';

interface RenewalResultsParts {
  readonly clock: Clock;
  readonly observer: InterferenceObserver;
  readonly onReport: ApplyReport;
}

/** Applies what agents answer to renewals of their run permissions. */
export class RenewalResults {
  constructor(private readonly parts: RenewalResultsParts) {}

  /**
   * Applies the result of a call; true if it has a complete report, which then
   * counts for the given reconciliations.
   */
  apply(
    agent: FleetAgent,
    call: RenewalCall,
    result: RenewalResult,
    unreported: readonly ShardReconciliation[],
  ): boolean {
    this.parts.observer.introduce(call.link, result.harms ?? []);
    const isComplete = this.applyReport(call, result);
    if (!isComplete) return false;
    const now = this.parts.clock.now();
    for (const one of unreported)
      ShardReconciliations.recordReport(one, agent, now);
    return true;
  }

  private applyReport(
    {link, sentAt}: RenewalCall,
    {report}: RenewalResult,
  ): boolean {
    if (!report) return false;
    return this.parts.onReport(report, link, sentAt) && report.isComplete;
  }
}
