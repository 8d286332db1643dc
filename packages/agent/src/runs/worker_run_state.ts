import {
  ResourcesArithmetic,
  type Clock,
  type Resources,
  type RunEnding,
} from '@chicoryspring/contracts';
import type {StateLog} from '@chicoryspring/observability';
import {EndingList} from './ending_list.js';
import {freeCapacity} from './free_capacity.js';
import type {LeaseRenewalAnswer} from './lease_renewal_answer_types.js';
import type {ListedRun} from './listed_run_types.js';
import type {ManagedRun} from './managed_run.js';
import {ManagedRunTable} from './managed_run_table.js';
import {RefusalList} from './refusal_list.js';

type WorkerLists = Extract<LeaseRenewalAnswer, {readonly kind: 'held'}>;

/** What an agent knows of the runs of one incarnation of its worker. */
export class WorkerRunState {
  readonly runs = new ManagedRunTable();
  readonly endings = new EndingList();
  readonly refusals = new RefusalList();
  private hasList = false;
  /** Runs that were dropped since the worker's last list. */
  private droppedRuns: readonly ManagedRun[] = [];

  constructor(
    private readonly incarnation: string,
    private readonly clock: Clock,
    private readonly log: StateLog,
    private readonly onChange: () => void,
  ) {}

  /**
   * Whether the worker has listed its runs and all endings, at one time, to this
   * agent process. Without that a run may have ended that is on no list yet.
   */
  get hasListedRuns(): boolean {
    return this.hasList;
  }

  /**
   * Why not all runs are known; undefined once the worker has listed them or its
   * lease, which ends at that local instant, is over.
   */
  unknownRunsReason(leaseExpiry: number): string | undefined {
    if (this.hasList) return undefined;
    // The other endings are still to come.
    if (this.endings.unsettled.length > 0) return 'incomplete list';
    return this.clock.now() < leaseExpiry ? 'no list' : undefined;
  }

  /** What the runs leave free of a capacity; none before the first list. */
  freeOf(capacity: Resources): Resources {
    if (!this.hasList) return ResourcesArithmetic.none;
    return freeCapacity(capacity, this.runs.all);
  }

  /** Whether no run is left, and no ending that an owner may still need. */
  get isIdle(): boolean {
    const isEmpty = this.runs.size === 0 && this.droppedRuns.length === 0;
    return this.hasList && isEmpty && this.endings.unsettled.length === 0;
  }

  /** The runs in progress when the worker was last heard of. */
  get lastRuns(): readonly ManagedRun[] {
    return [...this.droppedRuns, ...this.runs.all];
  }

  /** Applies the lists that were asked for at `sentAt`. */
  applyLists(lists: WorkerLists, sentAt: number): void {
    this.droppedRuns = [];
    // Endings come first, so that a run is not missed that has ended.
    this.applyEndings(lists.endings);
    // A run that is missing may be one whose ending had no room.
    const coveredUntil = lists.hasAllEndings ? sentAt : 0;
    this.reconcileRuns(lists.running, coveredUntil);
    this.hasList ||= lists.hasAllEndings;
    this.onChange();
  }

  /** Records that the worker has rejected a run, which never begins. */
  refuse(run: ManagedRun, reason: string): void {
    this.runs.remove(run.task, run.run);
    this.refusals.add(run, reason);
    this.onChange();
  }

  /** Drops all runs, which are over without an ending. */
  dropRuns(reason: string): void {
    if (this.runs.size === 0) return;
    this.log.change('runs lost', {reason, runs: this.runs.size});
    for (const run of this.runs.all) this.logLost(run, reason);
    this.droppedRuns = this.lastRuns;
    this.runs.clear();
    this.onChange();
  }

  private applyEndings(endings: readonly RunEnding[]): void {
    for (const ending of this.endings.merge(endings)) {
      this.runs.remove(ending.task, ending.run);
      this.logEnding(ending);
      this.onChange();
    }
  }

  private logEnding({task, ...ending}: RunEnding): void {
    const fields = {taskId: task, ...ending, life: this.incarnation};
    this.log.change('run ended', fields);
  }

  private logLost({task, run}: ManagedRun, reason: string): void {
    const fields = {taskId: task, run, reason, life: this.incarnation};
    this.log.change('run over without an ending', fields);
  }

  private reconcileRuns(running: readonly ListedRun[], sentAt: number): void {
    const now = this.clock.now();
    for (const run of this.runs.reconcile(running, sentAt, now)) {
      const {rejectionReason} = run;
      if (rejectionReason) this.refusals.add(run, rejectionReason);
      this.logLost(run, rejectionReason ?? 'not listed');
    }
  }
}
