/** Crashes under a task after which it is given up; the last in isolation. */
const MAX_CRASHES = 2;
/** Late crashes in a row that make a task a suspect. */
const SUSPECT_LATE_CRASHES = 3;

/**
 * Runs of a task with which a worker crashed.
 *
 * The first crash makes the task a suspect: other tasks may have begun on the
 * worker at the same time. From then on its runs are isolated, so that another
 * crash convicts it. A run that its worker survives clears the task.
 *
 * A crash is late if the run had passed its probation. Other tasks may well be
 * to blame, so it takes several in a row to make the task a suspect. Its runs
 * have a long probation from then on.
 */
export class TaskCrashes {
  private runNumbers: readonly number[] = [];
  private undurableCount = 0;
  /** Highest run that its worker has survived; what crashed before is past. */
  private survivedRun = 0;

  private lateRunNumbers: readonly number[] = [];

  /** Numbers of the last runs in a row that crashed late. */
  get lateRuns(): readonly number[] {
    return this.lateRunNumbers;
  }

  /** Whether runs of the task need a long probation. */
  get isLateSuspect(): boolean {
    return this.lateRunNumbers.length >= SUSPECT_LATE_CRASHES;
  }

  /** Numbers of the runs that crashed in their probation, the oldest first. */
  get runs(): readonly number[] {
    return this.runNumbers;
  }

  /** Whether runs of the task have to be isolated. */
  get isSuspect(): boolean {
    return this.runNumbers.length > 0 || this.isLateSuspect;
  }

  /** Whether the task must not start again. */
  get isGivenUp(): boolean {
    return this.runNumbers.length >= MAX_CRASHES;
  }

  /** Whether every recorded crash is durable, so that the task may start. */
  get isDurable(): boolean {
    return this.undurableCount === 0;
  }

  /** Takes over what the durable record of the job has. */
  restore(runs: readonly number[], lateRuns: readonly number[] = []): void {
    this.runNumbers = runs;
    this.lateRunNumbers = lateRuns;
  }

  /** Whether nothing more is to be recorded of a crash. */
  isKnown(run: number): boolean {
    return this.hasSurvived(run) || this.runNumbers.includes(run);
  }

  /** Whether a worker is known to have survived the start of a run. */
  hasSurvived(run: number): boolean {
    return run <= this.survivedRun;
  }

  /** Records that a worker survived a run; forgets the crashes before it. */
  recordSurvival(run: number): void {
    this.survivedRun = Math.max(this.survivedRun, run);
    this.runNumbers = this.runNumbers.filter(one => one > this.survivedRun);
    // Its probation was long. That of any other task shows nothing of late crashes.
    if (this.isLateSuspect) this.clearLate();
  }

  /** Records a crash, which is to be made durable. */
  record(run: number): void {
    this.runNumbers = [...this.runNumbers, run];
    this.undurableCount += 1;
  }

  /** Records a late crash; that of a suspect is to be made durable. */
  recordLate(run: number): void {
    this.lateRunNumbers = [...this.lateRunNumbers, run];
    if (this.isLateSuspect) this.undurableCount += 1;
  }

  /** Ends the row of late crashes, since a run ended otherwise. */
  clearLate(): void {
    this.lateRunNumbers = [];
  }

  /** Records that one of the crashes has become durable. */
  markDurable(): void {
    this.undurableCount -= 1;
  }
}
