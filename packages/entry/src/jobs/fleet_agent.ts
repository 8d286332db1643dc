import type {WorkerReport} from '@chicoryspring/contracts';
import type {Link} from '@chicoryspring/links';

type EndingState = 'open' | 'settled';

/** An agent of the fleet as the owner of jobs knows it. */
export class FleetAgent {
  link: Link | undefined;
  report: WorkerReport | undefined;
  /** Local instant of the last permission that was sent; 0 before. */
  permissionSentAt = 0;
  /** Local instant before which its worker gets no new runs. */
  ejectedUntil = 0;
  /** Runs that failed there since one was done. */
  failuresInARow = 0;
  private endingsIncarnation: string | undefined;
  private endings = new Map<number, EndingState>();

  constructor(readonly name: string) {}

  get incarnation(): string | undefined {
    return this.report?.worker?.life;
  }

  /** Whether the agent is linked and has said all that it answers for. */
  get hasFullReport(): boolean {
    return this.link?.isOpen === true && this.report?.isComplete === true;
  }

  /** Whether it has said that it has no worker. */
  get hasNoWorker(): boolean {
    return this.hasFullReport && this.report?.worker === undefined;
  }

  /** Takes in a report; false for one that is older than the last. */
  applyReport(report: WorkerReport, link: Link): boolean {
    const {report: last} = this;
    const isSameIncarnation = last?.agentLife === report.agentLife;
    if (isSameIncarnation && last && report.version <= last.version)
      return false;
    this.link = link;
    this.report = report;
    return true;
  }

  /** What became of an end of the worker's life; undefined when it is new. */
  endingState(incarnation: string, number: number): EndingState | undefined {
    return this.endingsIncarnation === incarnation
      ? this.endings.get(number)
      : undefined;
  }

  /** Forgets the ends that are not settled, since they will come again. */
  forgetOpenEndings(): void {
    for (const [number, state] of this.endings) {
      if (state === 'open') this.endings.delete(number);
    }
  }

  /** Takes note of what became of an end. */
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
}
