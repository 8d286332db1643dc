import type {JobStep} from '@chicoryspring/contracts';
import type {OwnedRun} from '../run/owned_run_types.js';

/** Failed runs that are kept; tasks that last may fail without end. */
const MAX_FAILED_RUNS = 32;

interface TaskPosition {
  readonly name: string;
  readonly occurrence: number;
  readonly stepNumber: number;
  readonly step: JobStep;
}

/** One task of an owned job. */
export class OwnedTask {
  isDone = false;
  /** Numbers of the runs that ended by a fault, the oldest first. */
  failedRuns: readonly number[] = [];
  /** State from which the next run resumes; empty when there is none. */
  checkpoint = '';
  /** The run that is under way. */
  run: OwnedRun | undefined;
  /** Highest run number that was used. */
  lastRunNumber = 0;
  /** Local instant before which it is not placed again. */
  notBefore = 0;
  /** Agents that should not get it, each until a local instant. */
  private readonly avoided = new Map<string, number>();

  constructor(
    readonly position: TaskPosition,
    /** Run numbers of this ownership are above this one. */
    private readonly baseRunNumber: number,
  ) {
    this.lastRunNumber = baseRunNumber;
  }

  get name(): string {
    return this.position.name;
  }

  get step(): JobStep {
    return this.position.step;
  }

  get failureCount(): number {
    return this.failedRuns.length;
  }

  /** Counts a failed run, once however often its end is told. */
  recordFailedRun(run: number): void {
    if (this.failedRuns.includes(run)) return;
    this.failedRuns = [...this.failedRuns, run].slice(-MAX_FAILED_RUNS);
  }

  /** Whether it waits for a worker. */
  isDue(now: number): boolean {
    return !this.isDone && this.run === undefined && this.notBefore <= now;
  }

  avoid(agent: string, until: number): void {
    this.avoided.set(agent, until);
  }

  isAvoided(agent: string, now: number): boolean {
    return (this.avoided.get(agent) ?? 0) > now;
  }

  /** Takes in a run that was found on a worker. */
  setRun(run: OwnedRun): void {
    this.run = run;
    this.lastRunNumber = Math.max(
      this.lastRunNumber,
      run.run,
      this.baseRunNumber,
    );
  }
}
