import type {Clock} from '@chicoryspring/contracts';
import type {ShardReconciliation} from '@chicoryspring/jobs';
import type {Link} from '@chicoryspring/links';
import type {RunIndex} from '../jobs/run_index.js';
import type {UnansweredRenewals} from './unanswered_renewals.js';

interface ReportDemandParts {
  readonly index: RunIndex;
  readonly clock: Clock;
  readonly unanswered: UnansweredRenewals;
}

/** Decides whether an agent is asked for its report with a renewal. */
export class ReportDemand {
  constructor(private readonly parts: ReportDemandParts) {}

  /** Whether the agent has to report what no report on its way can say. */
  wantsReport(
    agent: string,
    link: Link,
    unreported: readonly ShardReconciliation[],
  ): boolean {
    const {index, clock, unanswered} = this.parts;
    if (unreported.some(one => !unanswered.hasAskedFor(one, link))) return true;
    const askedAt = unanswered.reportAskedAt(link) ?? -Infinity;
    return index
      .tasksOn(agent)
      .map(one => one.run?.uncertainUntil ?? Infinity)
      .some(until => askedAt <= until && until < clock.now());
  }
}
