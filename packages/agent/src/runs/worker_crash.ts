import type {StateLog} from '@chicoryspring/observability';
import type {CrashedRunList} from './crashed_run_list.js';
import type {ManagedRun} from './managed_run.js';

/** Records the crash of one incarnation of a worker, at most once. */
export class WorkerCrash {
  private isRecorded = false;

  constructor(
    private readonly life: string,
    private readonly crashedRuns: CrashedRunList,
    private readonly log: StateLog,
  ) {}

  /**
   * Records the crash with the runs that may have caused it: those in their
   * probation when the worker was last known to be alive. A run without a
   * confirmed start is among them if it may have begun. With none of them, any
   * run may be to blame.
   */
  record(runs: readonly ManagedRun[], answeredAt: number): void {
    if (this.isRecorded) return;
    this.isRecorded = true;
    const {life} = this;
    const confirmations = runs.map(run => run.startConfirmedAt ?? 0);
    const aliveAt = Math.max(answeredAt, ...confirmations);
    const suspects = runs.filter(run => run.isInProbation(aliveAt));
    if (suspects.length === 0) this.crashedRuns.addLife(life);
    this.crashedRuns.add(suspects.map(({task, run}) => ({life, task, run})));
    const begun = suspects.map(({key}) => key).join();
    this.log.change('worker crashed', {life, runs: runs.length, begun});
  }
}
