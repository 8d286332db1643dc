import type {WorkerReport} from '@chicoryspring/contracts';
import type {Link} from '@chicoryspring/links';

/** An open ending is being made durable; a settled one can be forgotten. */
type EndingState = 'open' | 'settled';

/** An agent that runs jobs, as last known to the owner of jobs. */
export class FleetAgent {
  link: Link | undefined;
  report: WorkerReport | undefined;
  /** Local instant at which the last run permission sent ends; 0 before. */
  permissionDeadline = 0;
  /** Local instant before which its worker gets no new runs. */
  ejectedUntil = 0;
  /** Runs that failed there since the last successful one. */
  failuresInARow = 0;
  private endingsIncarnation: string | undefined;
  private endings = new Map<number, EndingState>();

  constructor(readonly name: string) {}

  get incarnation(): string | undefined {
    return this.report?.worker?.life;
  }

  /** Whether the agent is linked and its last report covers all its runs. */
  get hasFullReport(): boolean {
    return this.link?.isOpen === true && this.report?.isComplete === true;
  }

  /** Whether the agent has reported that it has no worker. */
  get hasNoWorker(): boolean {
    return this.hasFullReport && this.report?.worker === undefined;
  }

  /** Applies a report; false if it is older than the last one. */
  applyReport(report: WorkerReport, link: Link): boolean {
    if (this.isOutdated(report, link)) return false;
    this.link = link;
    this.report = report;
    return true;
  }

  /** State of an ending of that worker incarnation; undefined if new. */
  endingState(incarnation: string, number: number): EndingState | undefined {
    return this.endingsIncarnation === incarnation
      ? this.endings.get(number)
      : undefined;
  }

  /** Forgets unsettled endings, since the agent will report them again. */
  forgetOpenEndings(): void {
    for (const [number, state] of this.endings) {
      if (state === 'open') this.endings.delete(number);
    }
  }

  /** Sets the state of an ending; forgets those of earlier incarnations. */
  setEndingState(
    incarnation: string,
    number: number,
    state: EndingState,
  ): void {
    if (this.endingsIncarnation !== incarnation) {
      this.endingsIncarnation = incarnation;
      this.endings = new Map();
    }
    this.endings.set(number, state);
  }

  /**
   * Whether a report was made before the last one. An agent process opens its links
   * after the one before has ended, which sent reports only over links of its own.
   */
  private isOutdated(
    {agentLife, version}: WorkerReport,
    {openedAt}: Link,
  ): boolean {
    const {report: last, link: lastLink} = this;
    if (!last || !lastLink) return false;
    if (last.agentLife === agentLife) return version <= last.version;
    return openedAt < lastLink.openedAt;
  }
}
