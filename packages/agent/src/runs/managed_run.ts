import type {
  RunDescription,
  RunOrder,
  RunPhase,
  RunStatus,
} from '@chicoryspring/contracts';
import type {ListedRun} from './listed_run_types.js';

const FULL_PERCENT = 100;
/** Time after its start in which a run is suspected if its worker crashes. */
const PROBATION_MILLISECONDS = 500;
/** The same for a task of which several runs crashed later than that. */
const LONG_PROBATION_MILLISECONDS = 10_000;

/** A run that the agent is responsible for, started or found. */
export class ManagedRun {
  phase: RunPhase = 'starting';
  checkpoint = '';
  /** Percent of its work that is done; 100 if long-running and working. */
  percent = 0;
  /** Last pace that was set on the worker, in percent. */
  pace = FULL_PERCENT;
  /** Tail latency in milliseconds if latency critical, else millicores used. */
  measure = 0;
  /** Start orders that were sent and got no answer. */
  unansweredStartCount = 0;
  /** Whether a start order of this agent may have reached the worker. */
  mayHaveBegun = false;
  /** What the run waits for before it is sent, as last logged. */
  awaited: string | undefined;
  /** Whether a list that was asked for after its probation has the run. */
  hasPassedProbation = false;
  /** Local instant at which the worker confirmed the start. */
  startConfirmedAt: number | undefined;
  /** Reason for which the worker rejected the start order. */
  rejectionReason: string | undefined;
  /** Local instant at which the worker confirmed the stop. */
  stopConfirmedAt: number | undefined;

  private constructor(
    readonly task: string,
    readonly run: number,
    /** Undefined if the run was found on the worker. */
    readonly order: RunOrder | undefined,
    public description: RunDescription | undefined,
    /** Local instant at which the order was accepted or the run was found. */
    readonly acceptedAt: number,
  ) {}

  /** Creates a run from the start order of an owner. */
  static fromOrder(order: RunOrder, now: number): ManagedRun {
    const {task, run, description} = order;
    return new ManagedRun(task, run, order, description, now);
  }

  /** Creates a run that an earlier incarnation of the agent has started. */
  static fromWorker(listed: ListedRun, now: number): ManagedRun {
    const managed = new ManagedRun(
      listed.task,
      listed.run,
      undefined,
      undefined,
      now,
    );
    managed.phase = 'running';
    managed.startConfirmedAt = now;
    return managed;
  }

  static keyOf(task: string, run: number): string {
    return `${task}#${run}`;
  }

  get key(): string {
    return ManagedRun.keyOf(this.task, this.run);
  }

  /** State to report at a local instant. */
  statusAt(now: number): RunStatus {
    const {task, run, phase, checkpoint, percent, pace, measure} = this;
    const isDescribed = this.description !== undefined;
    const isIsolated = this.isIsolated(now) || undefined;
    const hasPassedProbation = this.hasPassedProbation || undefined;
    return {
      task,
      run,
      phase,
      checkpoint,
      percent,
      pace,
      measure,
      isDescribed,
      isIsolated,
      hasPassedProbation,
    };
  }

  /** Whether the worker may have the run, so that it takes up room there. */
  get isCounted(): boolean {
    return this.mayHaveBegun || this.order === undefined;
  }

  /** Whether the run was isolated and has not passed its probation yet. */
  isIsolated(now: number): boolean {
    return this.order?.isIsolated === true && now < this.probationEnd;
  }

  /** Whether the run may have begun and has not passed its probation yet. */
  isInProbation(now: number): boolean {
    return this.mayHaveBegun && now < this.probationEnd;
  }

  /** Applies the state that the worker lists, as it was asked for at `sentAt`. */
  applyListing(listed: ListedRun, sentAt: number, now: number): void {
    this.checkpoint = listed.checkpoint || this.checkpoint;
    this.percent = listed.percent;
    this.measure = listed.measure;
    this.startConfirmedAt ??= now;
    if (this.phase === 'starting') this.phase = 'running';
    if (sentAt >= this.probationEnd) this.hasPassedProbation = true;
  }

  /**
   * Whether the run is over if the worker's list lacks it.
   *
   * That holds if the request for the list was sent after the worker had
   * confirmed the start, or the stop of a run that is stopping.
   */
  isOverIfMissing(sentAt: number): boolean {
    return (this.certainAt ?? Infinity) < sentAt;
  }

  /** Local instant; infinite until the worker has confirmed the start. */
  private get probationEnd(): number {
    const milliseconds = this.order?.hasLongProbation
      ? LONG_PROBATION_MILLISECONDS
      : PROBATION_MILLISECONDS;
    return (this.startConfirmedAt ?? Infinity) + milliseconds;
  }

  /** Local instant from which on a list shows whether the run exists. */
  private get certainAt(): number | undefined {
    if (this.phase === 'starting') return undefined;
    if (this.phase === 'running') return this.startConfirmedAt;
    return this.stopConfirmedAt;
  }
}
