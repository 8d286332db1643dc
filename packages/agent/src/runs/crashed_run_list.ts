import type {CrashedRun} from '@chicoryspring/contracts';

/** Maximum of crashed runs; every report repeats them until they are settled. */
const MAX_CRASHED_RUNS = 256;
/** Maximum of crashed incarnations; every report repeats them. */
const MAX_CRASHED_LIVES = 4;

/** Runs that had begun shortly before their worker crashed, until settled. */
export class CrashedRunList {
  private crashedRuns: readonly CrashedRun[] = [];
  private crashedLives: readonly string[] = [];

  get all(): readonly CrashedRun[] {
    return this.crashedRuns;
  }

  /** Incarnations that crashed with no such run, the newest last. */
  get lives(): readonly string[] {
    return this.crashedLives;
  }

  /** Adds an incarnation that crashed; the oldest is forgotten. */
  addLife(life: string): void {
    const all = [...this.crashedLives, life];
    this.crashedLives = all.slice(-MAX_CRASHED_LIVES);
  }

  /** Adds runs; the oldest are forgotten if there are too many. */
  add(crashedRuns: readonly CrashedRun[]): void {
    const all = [...this.crashedRuns, ...crashedRuns];
    this.crashedRuns = all.slice(-MAX_CRASHED_RUNS);
  }

  /** Forgets a run, since its owner needs nothing more of it. */
  settle({life, task, run}: CrashedRun): void {
    this.crashedRuns = this.crashedRuns.filter(
      one => one.life !== life || one.task !== task || one.run !== run,
    );
  }
}
