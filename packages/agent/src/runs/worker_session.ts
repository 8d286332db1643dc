import {
  toChicoryspringError,
  type Clock,
  type Resources,
  type RunDescription,
  type RunOrder,
  type WorkerDescription,
  type WorkerReport,
} from '@chicoryspring/contracts';
import type {PacePolicy} from '@chicoryspring/jobs/pace/pace_policy_types.js';
import type {StateLog} from '@chicoryspring/observability';
import type {CrashedRunList} from './crashed_run_list.js';
import type {EndingList} from './ending_list.js';
import type {LeaseRenewalAnswer} from './lease_renewal_answer_types.js';
import {LeaseExtension} from './lease_extension.js';
import {LeaseWatch} from './lease_watch.js';
import {ManagedRun} from './managed_run.js';
import type {ManagedRunTable} from './managed_run_table.js';
import {RunAdmission} from './run_admission.js';
import {RunPacer} from './run_pacer.js';
import {RunStarter} from './run_starter.js';
import type {RunWorkerClient} from './run_worker_client_types.js';
import type {RunPermissions} from './run_permissions.js';
import {FencingToken} from './fencing_token.js';
import {WorkerCrash} from './worker_crash.js';
import {WorkerDeparture} from './worker_departure.js';
import {WorkerLease} from './worker_lease.js';
import {WorkerResponsiveness} from './worker_responsiveness.js';
import {WorkerRunState} from './worker_run_state.js';

const RETRY_MILLISECONDS = 150;
/** Time between two renewals while there are unsettled endings. */
const UNSETTLED_MILLISECONDS = 40;

/** One incarnation of a worker: its runs, its lease and its endings. */
export class WorkerSession {
  private readonly state: WorkerRunState;
  private readonly closing = new AbortController();
  private readonly fencingToken: FencingToken;
  private readonly starter: RunStarter;
  private readonly pacer: RunPacer;
  private readonly lease: WorkerLease;
  private readonly extension: LeaseExtension;
  private readonly leaseWatch: LeaseWatch;
  private readonly responsiveness: WorkerResponsiveness;
  private readonly departure: WorkerDeparture;
  private readonly crash: WorkerCrash;
  private readonly admission: RunAdmission;

  constructor(
    private latest: WorkerDescription,
    private readonly worker: RunWorkerClient,
    permissions: RunPermissions,
    crashedRuns: CrashedRunList,
    pacePolicy: PacePolicy,
    private readonly clock: Clock,
    private readonly log: StateLog,
    private readonly onChange: () => void,
  ) {
    const now = clock.now();
    this.responsiveness = new WorkerResponsiveness(clock);
    this.departure = new WorkerDeparture(clock);
    this.state = new WorkerRunState(latest.life, clock, log, onChange);
    const {runs, endings} = this.state;
    this.lease = new WorkerLease(runs, endings, permissions, log, now);
    const {lease, responsiveness} = this;
    this.extension = new LeaseExtension(lease, responsiveness, clock, log, {
      hasDeregistered: () => this.departure.hasDeregistered,
      stop: ({task, run}) => this.stop(task, run),
    });
    this.leaseWatch = new LeaseWatch(lease, clock, () => {
      if (this.isLeaseOver) this.state.dropRuns('lease expired');
    });
    this.admission = new RunAdmission(this, runs, permissions);
    this.crash = new WorkerCrash(latest.life, crashedRuns, log);
    this.fencingToken = new FencingToken(now);
    this.pacer = new RunPacer(
      worker,
      this.fencingToken,
      pacePolicy,
      () => this.latest.capacity.processors,
      clock,
      log,
    );
    this.starter = new RunStarter(worker, this.fencingToken, clock, log, {
      lease: this.extension,
      awaitedBy: run => this.admission.awaitedBy(run, clock.now()),
      onStarted: run => this.recordStart(run),
      onRejected: (run, reason) => this.state.refuse(run, reason),
      isManaged: run => runs.includes(run) && !this.closing.signal.aborted,
      rejectionOf: run => this.admission.rejectionOf(run),
    });
  }

  get incarnation(): string {
    return this.latest.life;
  }

  get description(): WorkerDescription {
    const {isLeaving, isAnswering} = this;
    const isDraining = this.latest.isLeaving;
    return {...this.latest, isLeaving, isDraining, isAnswering};
  }

  get endings(): EndingList {
    return this.state.endings;
  }

  /** Whether another incarnation answers at its address. */
  get isReplaced(): boolean {
    return this.responsiveness.isReplaced;
  }

  /** Whether the worker has listed its runs to this agent process. */
  get hasListedRuns(): boolean {
    return this.state.hasListedRuns;
  }

  /** Why not all its runs are known; undefined once it listed them or has none. */
  get unknownRunsReason(): string | undefined {
    return this.state.unknownRunsReason(this.leaseExpiry);
  }

  /** Local instant at which its runs are over unless the lease is extended. */
  get leaseExpiry(): number {
    return this.lease.expiry;
  }

  get refusals(): WorkerReport['refusals'] {
    return this.state.refusals.all;
  }

  get statuses(): WorkerReport['runs'] {
    return this.runs.statusesAt(this.clock.now());
  }

  /** Free capacity; none while it is not known what every run reserves. */
  get free(): Resources {
    return this.state.freeOf(this.latest.capacity);
  }

  /** Whether all runs are known to be over, and their endings are settled. */
  get isIdle(): boolean {
    return this.state.isIdle;
  }

  /** Applies a newer description of the same incarnation. */
  updateDescription(
    description: WorkerDescription,
    remainingMilliseconds = Infinity,
  ): void {
    this.latest = description;
    this.departure.register(description.isLeaving, remainingMilliseconds);
    this.onChange();
  }

  /** Records that the worker has deregistered; its runs go on until it ends. */
  deregister(): void {
    this.departure.deregister();
    this.onChange();
  }

  /**
   * The background loop that renews the lease and applies the answers.
   *
   * Resolves once it is closed or the runs of a deregistered worker are over.
   */
  async run(): Promise<void> {
    const {signal} = this.closing;
    void this.responsiveness.run(signal);
    void this.leaseWatch.run(signal);
    while (!signal.aborted && !this.isGone) {
      if (this.departure.isStopDue)
        for (const {task, run} of this.runs.all) this.stop(task, run);
      const sentAt = this.clock.now();
      const isAnswered = await this.renewOnce(sentAt);
      if (isAnswered && this.endings.unsettled.length === 0) continue;
      // A worker with unsettled endings answers without delay, so wait here.
      const pause = isAnswered ? UNSETTLED_MILLISECONDS : RETRY_MILLISECONDS;
      await this.clock.sleepUntil(this.clock.now() + pause, signal);
    }
  }

  /** Accepts a start order, or throws; then nothing was sent to the worker. */
  start(order: RunOrder): void {
    const now = this.clock.now();
    const run = ManagedRun.fromOrder(order, now);
    if (this.runs.get(order.task, order.run)) return;
    this.admission.require(order, now);
    this.runs.add(run);
    void this.starter.start(run);
    this.onChange();
  }

  /** Stops a run in the background; an unknown run is ignored. */
  stop(task: string, run: number): void {
    const managed = this.runs.get(task, run);
    if (!managed || managed.phase === 'stopping') return;
    managed.phase = 'stopping';
    void this.starter.stop(managed);
    this.onChange();
  }

  /** Sets the description of a run that was found on the worker. */
  describeRun(task: string, run: number, description: RunDescription): void {
    if (this.runs.describe(task, run, description)) this.onChange();
  }

  /** Records that the worker has ended without leaving. */
  recordCrash(): void {
    if (this.isLeaving) return;
    const {answeredAt} = this.responsiveness;
    this.crash.record(this.state.lastRuns, answeredAt);
  }

  /** Ends the background loop; the worker has left or has restarted. */
  async close(): Promise<void> {
    this.closing.abort();
    this.runs.clear();
    await this.worker.close();
  }

  private get runs(): ManagedRunTable {
    return this.state.runs;
  }

  private get isLeaving(): boolean {
    return this.latest.isLeaving || this.departure.hasDeregistered;
  }

  private get isAnswering(): boolean {
    return this.hasListedRuns && this.responsiveness.isAvailable;
  }

  /** Whether the worker has announced its end, and nothing shows that it goes on. */
  private get isGone(): boolean {
    if (!this.departure.hasDeregistered) return false;
    const {isReplaced, isRefusing} = this.responsiveness;
    const hasExited = isRefusing && this.runs.areStopped;
    return isReplaced || hasExited || this.isLeaseOver;
  }

  /** Whether the lease of an unresponsive worker has expired. */
  private get isLeaseOver(): boolean {
    const isExpired = this.clock.now() >= this.leaseExpiry;
    const {isUnresponsive} = this.responsiveness;
    return isExpired && (!this.hasListedRuns || isUnresponsive);
  }

  /** Renews the lease once; false if the next attempt should be delayed. */
  private async renewOnce(sentAt: number): Promise<boolean> {
    const grant = this.extension.forRenewal();
    const renewal = {
      fencingToken: this.fencingToken.value,
      acknowledgedUpTo: this.endings.acknowledgedUpTo,
      leaseMilliseconds: grant?.milliseconds,
      waitMilliseconds: this.hasListedRuns
        ? this.responsiveness.waitMilliseconds
        : 0,
    };
    try {
      const answer = await this.extension.send(grant, () =>
        this.worker.renewLease(renewal),
      );
      return this.applyAnswer(answer, sentAt);
    } catch (thrown) {
      this.responsiveness.recordError(toChicoryspringError(thrown));
      if (!this.isAnswering) this.onChange();
      return false;
    }
  }

  private applyAnswer(answer: LeaseRenewalAnswer, sentAt: number): boolean {
    // It carried nothing out, so its runs go on no longer than without an answer.
    if (answer.kind === 'unhealthy') this.responsiveness.recordFailure();
    else this.responsiveness.recordAnswer();
    if (answer.kind === 'held') {
      this.state.applyLists(answer, sentAt);
      this.pacer.adjustPaces(this.runs.all);
      return true;
    }
    this.log.change('lease renewal rejected', {reason: answer.kind});
    if (answer.kind === 'fenced') this.fencingToken.raise();
    if (answer.kind !== 'other-life') return answer.kind === 'fenced';
    this.responsiveness.recordReplacement();
    this.recordCrash();
    this.state.dropRuns('other incarnation');
    return false;
  }

  private recordStart(run: ManagedRun): void {
    if (run.phase === 'starting') run.phase = 'running';
    run.startConfirmedAt = this.clock.now();
    this.pacer.setInitialPace(run);
    this.onChange();
  }
}
