import {
  WorkerReportDifference,
  type WorkerReport,
  type WorkerReportChange,
} from '@chicoryspring/contracts';
import type {Link} from '@chicoryspring/links';

/** The last report that was received as a notification on each link. */
export class ReportStreams {
  private readonly lastReports = new WeakMap<Link, WorkerReport>();

  /** Records a full report. */
  restart(report: WorkerReport, link: Link): void {
    this.lastReports.set(link, report);
  }

  /** The report that results; undefined if that before it was not received. */
  apply(change: WorkerReportChange, link: Link): WorkerReport | undefined {
    const last = this.lastReports.get(link);
    const isKnownBase =
      last?.agentLife === change.agentLife &&
      last.version === change.baseVersion;
    if (!isKnownBase) return undefined;
    const report = WorkerReportDifference.apply(last, change);
    this.lastReports.set(link, report);
    return report;
  }
}
