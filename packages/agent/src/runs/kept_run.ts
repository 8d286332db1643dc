import type {
  RunDescription,
  RunOrder,
  RunPhase,
  RunStatus,
} from '@chicoryspring/contracts';
import type {FoundRun} from './found_run_types.js';

const FULL_PERCENT = 100;

/** A run that the agent answers for. */
export class KeptRun {
  phase: RunPhase = 'starting';
  checkpoint = '';
  /** Share of its work that is done; of a lasting task, whether it works. */
  percent = 0;
  /** Share of its pace that it was told to work at, 0 to 100. */
  pace = FULL_PERCENT;
  measure = 0;
  /** When the worker confirmed the start; undefined before. */
  startedAt: number | undefined;
  /** When the worker took note of the stop; undefined before. */
  stoppedAt: number | undefined;

  private constructor(
    readonly task: string,
    readonly run: number,
    /** Absent when it was found on the worker. */
    readonly order: RunOrder | undefined,
    public description: RunDescription | undefined,
  ) {}

  /** A run that an owner has ordered. */
  static ordered(order: RunOrder): KeptRun {
    const {task, run, description} = order;
    return new KeptRun(task, run, order, description);
  }

  /** A run of an earlier life of the agent, found on the worker. */
  static found(found: FoundRun, now: number): KeptRun {
    const kept = new KeptRun(found.task, found.run, undefined, undefined);
    kept.phase = 'running';
    kept.startedAt = now;
    return kept;
  }

  static keyOf(task: string, run: number): string {
    return `${task}#${run}`;
  }

  get key(): string {
    return KeptRun.keyOf(this.task, this.run);
  }

  get status(): RunStatus {
    const {task, run, phase, checkpoint, percent, pace, measure} = this;
    const isDescribed = this.description !== undefined;
    return {task, run, phase, checkpoint, percent, pace, measure, isDescribed};
  }

  /** Takes in what the worker says of it. */
  observe(found: FoundRun, now: number): void {
    this.checkpoint = found.checkpoint || this.checkpoint;
    this.percent = found.percent;
    this.measure = found.measure;
    this.startedAt ??= now;
    if (this.phase === 'starting') this.phase = 'running';
  }

  /**
   * Whether a list in which it is missing shows that it is over: the question
   * was sent after the worker had confirmed the start or the stop.
   */
  isOverWhenMissing(askedAt: number): boolean {
    if (this.phase === 'starting') return false;
    const since = this.phase === 'running' ? this.startedAt : this.stoppedAt;
    return (since ?? Infinity) < askedAt;
  }
}
