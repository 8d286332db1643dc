/** Numbers of failed runs that are kept; the count goes on without them. */
const MAX_KEPT_RUNS = 32;

/** Failed runs of a task: their count, and the numbers of the last of them. */
export class TaskFailures {
  private runNumbers: readonly number[] = [];
  private total = 0;

  /** The highest numbers of failed runs, the lowest first. */
  get runs(): readonly number[] {
    return this.runNumbers;
  }

  get count(): number {
    return this.total;
  }

  /** Takes over what the durable record of the job has. */
  restore(runs: readonly number[], count = runs.length): void {
    this.runNumbers = keptOf(runs);
    this.total = count;
  }

  /** Counts a failed run once, however often it is reported. */
  record(run: number): void {
    if (this.isKnown(run)) return;
    this.total += 1;
    this.runNumbers = keptOf([...this.runNumbers, run]);
  }

  /**
   * Run numbers rise, so a run before those that are kept was counted unless it
   * ended out of contact, with 32 later failures before it was reported.
   */
  private isKnown(run: number): boolean {
    const {runNumbers} = this;
    if (runNumbers.includes(run)) return true;
    return runNumbers.length === MAX_KEPT_RUNS && run < runNumbers[0]!;
  }
}

function keptOf(runs: readonly number[]): readonly number[] {
  return runs.toSorted((one, other) => one - other).slice(-MAX_KEPT_RUNS);
}
