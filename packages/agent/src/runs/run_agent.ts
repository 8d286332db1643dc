import {randomUUID} from 'node:crypto';
import {
  ResourcesArithmetic,
  Wakeup,
  type Clock,
  type WorkerDescription,
  type WorkerReport,
} from '@chicoryspring/contracts';
import {InterferencePacePolicy} from '@chicoryspring/jobs/pace/interference_pace_policy.js';
import {
  agentJoinMethod,
  type Link,
  type LinkMethodRegistry,
} from '@chicoryspring/links';
import {superviseLoop, type StateLog} from '@chicoryspring/observability';
import type {EntryDirectory} from '../entry_peer/entry_directory.js';
import {CrashedRunList} from './crashed_run_list.js';
import {InterferenceTable} from './interference_table.js';
import {OwnerMethods} from './owner_methods.js';
import {ReportSender} from './report_sender.js';
import {RunMeasureSampler} from './run_measure_sampler.js';
import type {RunWorkerClient} from './run_worker_client_types.js';
import {RunPermissions} from './run_permissions.js';
import {WorkerLease} from './worker_lease.js';
import {WorkerSession} from './worker_session.js';

const JOIN_TIMEOUT_MILLISECONDS = 2_000;
/** Minimum time between two reports. */
const MIN_REPORT_INTERVAL_MILLISECONDS = 20;
/** Time after which changed measures are reported without another event. */
const REPORT_INTERVAL_MILLISECONDS = 500;

/**
 * Runs the tasks of jobs on one worker, for the owners of the jobs.
 *
 * Owners give it start orders and run permissions; it reports the state of the
 * worker back to them. Tasks and requests of callers are served by
 * `AgentProcess` instead.
 */
export class RunAgent {
  private readonly incarnation = randomUUID().slice(0, 8);
  private readonly permissions = new RunPermissions();
  private readonly interference = new InterferenceTable();
  private readonly crashedRuns = new CrashedRunList();
  private readonly wakeup = new Wakeup();
  private readonly ownerMethods: OwnerMethods;
  private current: WorkerSession | undefined;
  /** Version of the last report, higher than those of earlier incarnations. */
  private version: number;
  private readonly reportSender: ReportSender;
  private readonly measureSampler: RunMeasureSampler;
  /** Whether a worker of this agent process has left; its runs have ended. */
  private hasWorkerLeft = false;
  private isRetired = false;
  private lastUnknownRunsReason: string | undefined;
  /** Local instant at which the runs of earlier agent processes are over. */
  private readonly earlierLeaseExpiry: number;

  constructor(
    private readonly agentName: string,
    private readonly entries: () => Pick<EntryDirectory, 'reconcile'>,
    private readonly clock: Clock,
    private readonly log: StateLog,
    /** Local instant from which on no earlier process of the agent ran. */
    startInstant = clock.now(),
  ) {
    this.reportSender = new ReportSender(log);
    this.measureSampler = new RunMeasureSampler(clock);
    this.version = Math.floor(clock.now());
    this.earlierLeaseExpiry = WorkerLease.expiryOf(startInstant);
    this.ownerMethods = new OwnerMethods(
      this,
      this.permissions,
      this.interference,
      this.crashedRuns,
      clock,
      log,
    );
  }

  /** The current incarnation of the worker, if any. */
  get session(): WorkerSession | undefined {
    return this.current;
  }

  /** Version of the next report. */
  get nextVersion(): number {
    return this.version + 1;
  }

  /** The current worker, if any. */
  get worker(): WorkerDescription | undefined {
    return this.session?.description;
  }

  /** Whether there is no worker, or another incarnation answers for it. */
  get isWorkerGone(): boolean {
    return this.current?.isReplaced ?? true;
  }

  /** Whether each owner renews its permission, under its lease in the store. */
  get isPermittedUnderLease(): boolean {
    return this.permissions.areUnderLease(this.clock.now());
  }

  /** Registers the methods that owners call on this agent. */
  serve(registry: LinkMethodRegistry): void {
    this.ownerMethods.register(registry);
  }

  /** Joins an entry over a new link, and reconciles the list of entries. */
  async join(link: Link): Promise<void> {
    const deadline = this.clock.now() + JOIN_TIMEOUT_MILLISECONDS;
    const answer = await link.call(
      agentJoinMethod,
      this.createReport(),
      deadline,
    );
    if (answer.acceptsReportChanges) this.reportSender.useChanges(link);
    this.entries().reconcile(answer.entries);
  }

  /**
   * Registers a worker that announced itself, or updates its description. One that
   * drains may say for how long it certainly remains.
   */
  async registerWorker(
    description: WorkerDescription,
    openClient: () => RunWorkerClient,
    remainingMilliseconds = Infinity,
  ): Promise<void> {
    const {session} = this;
    if (session?.incarnation === description.life) {
      session.updateDescription(description, remainingMilliseconds);
      return;
    }
    session?.recordCrash();
    this.log.change('worker joined', {
      worker: description.worker,
      life: description.life,
    });
    const next = new WorkerSession(
      description,
      openClient(),
      this.permissions,
      this.crashedRuns,
      new InterferencePacePolicy((serving, filling) =>
        this.interference.get(serving, filling),
      ),
      this.clock,
      this.log,
      () => this.wakeup.notify(),
    );
    next.updateDescription(description, remainingMilliseconds);
    this.current = next;
    void this.runSession(next);
    await session?.close();
  }

  /** Deregisters the worker; its runs go on until it is gone. */
  deregisterWorker(): void {
    const {session} = this;
    this.log.change('worker leaving', {life: session?.incarnation});
    session?.deregister();
  }

  /**
   * Accepts no more runs, since the process is told to stop. Without a run its
   * owners hear that it has no worker any more, so that none waits for it.
   */
  retire(): void {
    this.isRetired = true;
    this.broadcastReport();
  }

  /** Whether it accepts no more runs. */
  get isRetiring(): boolean {
    return this.isRetired;
  }

  /** The background loop that reports changes to the owners. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.wakeup.waitUntil(this.clock, this.nextReportInstant, signal);
      this.broadcastReport();
      await this.clock.sleepUntil(
        this.clock.now() + MIN_REPORT_INTERVAL_MILLISECONDS,
        signal,
      );
    }
  }

  /** Runs a session until it is closed or its worker has left. */
  private async runSession(session: WorkerSession): Promise<void> {
    const {clock, log} = this;
    await superviseLoop('worker session', () => session.run(), {clock, log});
    if (this.session !== session) return;
    this.current = undefined;
    this.hasWorkerLeft = true;
    this.log.change('worker left', {life: session.incarnation});
    // This process may end soon after its worker, and its owners should know by then.
    this.wakeup.notify();
    await session.close();
  }

  /** Local instant of the next report, if nothing happens before it. */
  private get nextReportInstant(): number {
    const now = this.clock.now();
    const next = now + REPORT_INTERVAL_MILLISECONDS;
    const {leaseExpiry} = this;
    return leaseExpiry > now ? Math.min(next, leaseExpiry) : next;
  }

  /** Local instant at which runs that no list shows are over. */
  private get leaseExpiry(): number {
    return this.session?.leaseExpiry ?? this.earlierLeaseExpiry;
  }

  /** Why the report may not list all runs that there are; undefined if it does. */
  private get unknownRunsReason(): string | undefined {
    const {session} = this;
    if (session) return session.unknownRunsReason;
    const areOver = this.hasWorkerLeft || this.clock.now() >= this.leaseExpiry;
    return areOver ? undefined : 'no worker yet';
  }

  private logUnknownRuns(reason: string | undefined): void {
    if (reason === this.lastUnknownRunsReason) return;
    this.lastUnknownRunsReason = reason;
    const {session} = this;
    const fields = {reason, life: session?.incarnation};
    this.log.change(reason ? 'runs not known' : 'runs known', fields);
  }

  private broadcastReport(): void {
    const owners = this.permissions.ownerLinks;
    if (owners.length === 0) return;
    const {measureSampler, reportSender} = this;
    const isSampleDue = measureSampler.isDue;
    const report = this.createReport();
    const runs = measureSampler.sampled(report.runs);
    for (const link of owners)
      reportSender.send({...report, runs}, link, isSampleDue);
  }

  /** Creates the report that an owner has asked for on its link. */
  createRequestedReport(link: Link): WorkerReport {
    this.reportSender.restart(link);
    return this.createReport();
  }

  /** Creates a report under a new version. */
  private createReport(): WorkerReport {
    this.version += 1;
    this.logUnknownRuns(this.unknownRunsReason);
    return {...this.reportContent(), version: this.version};
  }

  private reportContent(): Omit<WorkerReport, 'version'> {
    const {agentName: agent, incarnation: agentLife, session} = this;
    return {
      agent,
      agentLife,
      worker:
        this.isRetired && session?.isIdle ? undefined : session?.description,
      free: session?.free ?? ResourcesArithmetic.none,
      runs: session?.statuses ?? [],
      endings: session?.endings.unsettled ?? [],
      refusals: session?.refusals ?? [],
      crashedRuns: this.crashedRuns.all,
      crashedLives: this.crashedRuns.lives,
      isComplete: this.unknownRunsReason === undefined,
    };
  }
}
