/** Part of the tasks of a step that are its last, at least one task. */
const TAIL_SHARE = 0.1;

/** How many tasks of a step are done and how many have a run. */
export class StepTail {
  private runs = 0;

  constructor(
    private readonly taskCount: number,
    private done: number,
  ) {}

  get hasRuns(): boolean {
    return this.runs > 0;
  }

  get isDone(): boolean {
    return this.done === this.taskCount;
  }

  /** Whether only the last tasks are left, and each of them has a run. */
  get isInTail(): boolean {
    const {taskCount, done, runs} = this;
    const tail = Math.max(1, Math.floor(taskCount * TAIL_SHARE));
    const left = taskCount - done;
    // A step of one task has no others that could have ended before it.
    return done > 0 && left <= tail && left === runs;
  }

  addRun(): void {
    this.runs += 1;
  }

  removeRun(): void {
    this.runs -= 1;
  }

  recordDone(): void {
    this.done += 1;
  }
}
