import type {JobStep} from '@chicoryspring/contracts';
import {TaskCheckpoint} from './task_checkpoint.js';
import {TaskCrashes} from './task_crashes.js';
import {TaskFailures} from './task_failures.js';
import type {OwnedRun} from '../run/owned_run_types.js';
import type {JobTimeAccount} from '../time_account/job_time_account.js';

interface TaskPosition {
  readonly name: string;
  readonly occurrence: number;
  readonly stepNumber: number;
  readonly step: JobStep;
}

/** A task of an owned job. */
export class OwnedTask {
  isDone = false;
  readonly failures = new TaskFailures();
  readonly crashes = new TaskCrashes();
  /** The current run. */
  run: OwnedRun | undefined;
  /** Highest run number used so far. */
  lastRunNumber = 0;
  /** Local instant before which the task is not placed again. */
  notBefore = 0;
  /** Agents that must not get the task, each until a local instant. */
  private readonly avoided = new Map<string, number>();

  constructor(
    readonly position: TaskPosition,
    /** Runs that this owner starts have numbers above this one. */
    private readonly baseRunNumber: number,
    /** Account of its job, which is told of each change of the run. */
    private readonly timeAccount?: JobTimeAccount,
    /** The same one for all members of a gang. */
    private readonly sharedCheckpoint = new TaskCheckpoint(),
  ) {
    this.lastRunNumber = baseRunNumber;
  }

  get name(): string {
    return this.position.name;
  }

  get step(): JobStep {
    return this.position.step;
  }

  /** Checkpoint from which the next run resumes; empty without one. */
  get checkpoint(): string {
    return this.sharedCheckpoint.value;
  }

  restoreCheckpoint(checkpoint: string): void {
    this.sharedCheckpoint.restore(checkpoint);
  }

  /** Records the checkpoint that a run has reported, if it has one. */
  recordCheckpoint(checkpoint: string, run: number): void {
    this.sharedCheckpoint.record(checkpoint, run);
  }

  get failureCount(): number {
    return this.failures.count;
  }

  /** Idempotent, since an ending may be reported more than once. */
  recordFailedRun(run: number): void {
    this.failures.record(run);
  }

  /** Whether the task needs a worker now. */
  isDue(now: number): boolean {
    const isOpen = !this.isDone && this.run === undefined;
    return isOpen && this.crashes.isDurable && this.notBefore <= now;
  }

  avoid(agent: string, until: number): void {
    this.avoided.set(agent, until);
  }

  /** Whether the task may get any agent that its step allows. */
  avoidsNone(now: number): boolean {
    return [...this.avoided.values()].every(until => until <= now);
  }

  isAvoided(agent: string, now: number): boolean {
    return (this.avoided.get(agent) ?? 0) > now;
  }

  /** Sets the current run, ordered here or found on a worker. */
  setRun(run: OwnedRun): void {
    this.timeAccount?.runChanged(this, this.run, run);
    this.run = run;
    this.lastRunNumber = Math.max(
      this.lastRunNumber,
      run.run,
      this.baseRunNumber,
    );
  }

  clearRun(): void {
    this.timeAccount?.runChanged(this, this.run, undefined);
    this.run = undefined;
  }
}
