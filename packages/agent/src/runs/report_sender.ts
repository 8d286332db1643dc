import {
  WorkerReportDifference,
  toChicoryspringError,
  type WorkerReport,
} from '@chicoryspring/contracts';
import {
  workerReportChangeMethod,
  workerReportMethod,
  type Link,
} from '@chicoryspring/links';
import type {StateLog} from '@chicoryspring/observability';

/**
 * Sends the reports of an agent to its owners: the first one on a link in full,
 * then what has changed. A report without news is not sent.
 */
export class ReportSender {
  /** The last report that was sent as a notification on each link. */
  private readonly lastReports = new WeakMap<Link, WorkerReport>();
  private readonly linksForChanges = new WeakSet<Link>();

  constructor(private readonly log: StateLog) {}

  /** The entry at the other end accepts changes. */
  useChanges(link: Link): void {
    this.linksForChanges.add(link);
  }

  /** Has the next report on the link sent in full. */
  restart(link: Link): void {
    this.lastReports.delete(link);
  }

  /** Sends a report; one that can wait is sent only if the next sample is due. */
  send(report: WorkerReport, link: Link, isSampleDue: boolean): void {
    const last = this.lastReports.get(link);
    const isComparable =
      last && WorkerReportDifference.isDescribable(last, report);
    const change = isComparable && WorkerReportDifference.between(last, report);
    if (isComparable && !change) return;
    if (change && !isSampleDue && !WorkerReportDifference.isUrgent(change))
      return;
    this.lastReports.set(link, report);
    try {
      if (change && this.linksForChanges.has(link))
        link.notify(workerReportChangeMethod, change);
      else link.notify(workerReportMethod, report);
    } catch (thrown) {
      // The link is closing; the next join sends the report.
      const {message} = toChicoryspringError(thrown);
      this.log.change('report not sent', {message});
    }
  }
}
