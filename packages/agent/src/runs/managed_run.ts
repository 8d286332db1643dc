import type {
  RunDescription,
  RunOrder,
  RunPhase,
  RunStatus,
} from '@chicoryspring/contracts';
import type {ListedRun} from './listed_run_types.js';

const FULL_PERCENT = 100;

/** A run that the agent answers for. */
export class ManagedRun {
  phase: RunPhase = 'starting';
  checkpoint = '';
  /** Share of its work that is done; of a lasting task, whether it works. */
  percent = 0;
  /** Share of its pace that it was told to work at, 0 to 100. */
  pace = FULL_PERCENT;
  measure = 0;
  /** When the worker confirmed the start; undefined before. */
  startConfirmedAt: number | undefined;
  /** When the worker took note of the stop; undefined before. */
  stopConfirmedAt: number | undefined;

  private constructor(
    readonly task: string,
    readonly run: number,
    /** Absent when it was found on the worker. */
    readonly order: RunOrder | undefined,
    public description: RunDescription | undefined,
  ) {}

  /** A run that an owner has ordered. */
  static fromOrder(order: RunOrder): ManagedRun {
    const {task, run, description} = order;
    return new ManagedRun(task, run, order, description);
  }

  /** A run of an earlier life of the agent, found on the worker. */
  static fromWorker(found: ListedRun, now: number): ManagedRun {
    const managed = new ManagedRun(found.task, found.run, undefined, undefined);
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

  get status(): RunStatus {
    const {task, run, phase, checkpoint, percent, pace, measure} = this;
    const isDescribed = this.description !== undefined;
    return {task, run, phase, checkpoint, percent, pace, measure, isDescribed};
  }

  /** Takes in what the worker says of it. */
  applyListing(found: ListedRun, now: number): void {
    this.checkpoint = found.checkpoint || this.checkpoint;
    this.percent = found.percent;
    this.measure = found.measure;
    this.startConfirmedAt ??= now;
    if (this.phase === 'starting') this.phase = 'running';
  }

  /**
   * Whether a list in which it is missing shows that it is over: the question
   * was sent after the worker had confirmed the start or the stop.
   */
  hasEndedIfMissing(askedAt: number): boolean {
    if (this.phase === 'starting') return false;
    const since =
      this.phase === 'running' ? this.startConfirmedAt : this.stopConfirmedAt;
    return (since ?? Infinity) < askedAt;
  }
}
