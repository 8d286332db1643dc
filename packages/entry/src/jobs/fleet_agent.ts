import type {WorkerReport} from '@chicoryspring/contracts';
import type {Link} from '@chicoryspring/links';
import {FleetAgentEndings} from './fleet_agent_endings.js';

/** An agent that runs jobs, as last known to the owner of jobs. */
export class FleetAgent {
  link: Link | undefined;
  report: WorkerReport | undefined;
  /** Local instant at which the last run permission sent ends; 0 before. */
  permissionDeadline = 0;
  /**
   * Local instant at which the permissions of earlier owners of the shards under
   * which it has reported end; 0 before.
   */
  earlierPermissionDeadline = 0;
  /** Local instant before which its worker gets no new runs. */
  ejectedUntil = 0;
  /** Runs that failed there since the last successful one. */
  failuresInARow = 0;
  /** Local instant since which the process of the last report is known. */
  private processKnownSince = -Infinity;
  readonly endings = new FleetAgentEndings();

  constructor(readonly name: string) {}

  get incarnation(): string | undefined {
    return this.report?.worker?.life;
  }

  /** Local instant up to which any owner has permitted the runs that are owned. */
  get lastPermissionDeadline(): number {
    return Math.max(this.permissionDeadline, this.earlierPermissionDeadline);
  }

  /** Whether the agent is linked and its last report covers all its runs. */
  get hasFullReport(): boolean {
    return this.link?.isOpen === true && this.report?.isComplete === true;
  }

  /** Whether the agent has reported that it has no worker. */
  get hasNoWorker(): boolean {
    return this.hasFullReport && this.report?.worker === undefined;
  }

  /** Whether the last report is of that process of the agent. */
  isProcess(agentLife: string): boolean {
    return this.report?.agentLife === agentLife;
  }

  /**
   * Applies a report that has arrived now; false if it is older than the last
   * one, or may be.
   */
  applyReport(
    report: WorkerReport,
    link: Link,
    now: number,
    askedAt?: number,
  ): boolean {
    if (this.isOutdated(report, askedAt)) return false;
    if (!this.isProcess(report.agentLife)) this.processKnownSince = now;
    this.link = link;
    this.report = report;
    return true;
  }

  /**
   * Whether a report may have been made before the last one. What an earlier
   * process has sent may arrive late. One that has answered a call sent after the
   * last process was known is later than that, since no two run at a time.
   */
  private isOutdated(
    {agentLife, version}: WorkerReport,
    askedAt = -Infinity,
  ): boolean {
    const {report: last} = this;
    if (!last) return false;
    if (this.isProcess(agentLife)) return version <= last.version;
    return askedAt < this.processKnownSince;
  }
}
