import {
  ChicoryspringError,
  Wakeup,
  type EntryMember,
  type JobRecord,
  type JobStatus,
  type WorkerReport,
  type WorkerReportChange,
} from '@chicoryspring/contracts';
import {
  ContentionJobOrder,
  IsolatingRunPlacementPolicy,
  PackingRunPlacementPolicy,
  type OwnedJob,
} from '@chicoryspring/jobs';
import type {Link} from '@chicoryspring/links';
import {superviseLoop} from '@chicoryspring/observability';
import type {ShardRecord} from '@chicoryspring/shards';
import {AgentReportReceiver} from './agent_report_receiver.js';
import {EntryListPublisher} from './entry_list_publisher.js';
import {FleetAgentDirectory} from './fleet_agent_directory.js';
import {FleetViews} from './fleet_views.js';
import {InterferenceObserver} from './interference_observer.js';
import {JobAcceptance} from './job_acceptance.js';
import {JobObserver} from './job_observer.js';
import {JobReconciler} from './job_reconciler.js';
import {JobRecords} from './job_records.js';
import {JobScheduler} from './job_scheduler.js';
import {JobTimeObserver} from '../time_account/job_time_observer.js';
import type {JobOwnerParts} from './job_owner_parts_types.js';
import type {JobSubmission} from './job_submission_types.js';
import {OwnedJobDirectory} from './owned_job_directory.js';
import {PlaceableJobs} from '../reconciliation/placeable_jobs.js';
import {RunAgentClient} from './run_agent_client.js';
import {RunPermissionRenewer} from './run_permission_renewer.js';
import {RunRelocator} from './run_relocator.js';
import {RunIndex} from './run_index.js';
import {RunReservations} from '../look_ahead/run_reservations.js';

/** Maximum and minimum time between rounds; a burst of changes causes few. */
const INTERVAL_MILLISECONDS = 250;
const MIN_INTERVAL_MILLISECONDS = 5;
/** Least pause after a round, in parts of the time that the round took. */
const PAUSE_SHARE = 3;

/** Owns the jobs of this entry's shards: accepts, places and ends them. */
export class JobOwner {
  private readonly agents: FleetAgentDirectory;
  private readonly index = new RunIndex();
  private readonly wakeup = new Wakeup();
  private readonly jobs: OwnedJobDirectory;
  private readonly records: JobRecords;
  private readonly acceptance: JobAcceptance;
  private readonly renewer: RunPermissionRenewer;
  private readonly reconciler: JobReconciler;
  private readonly scheduler: JobScheduler;
  private readonly receiver: AgentReportReceiver;
  private readonly relocator: RunRelocator;
  private readonly interferenceObserver: InterferenceObserver;
  private readonly jobObserver: JobObserver;
  private readonly timeObserver: JobTimeObserver;
  private readonly entryListPublisher: EntryListPublisher;

  constructor(private readonly parts: JobOwnerParts) {
    const {entryName, table, clock, log, metrics} = parts;
    this.agents = new FleetAgentDirectory(clock);
    const views = new FleetViews(this.index);
    this.interferenceObserver = new InterferenceObserver(views, clock);
    this.jobObserver = new JobObserver(clock, log, metrics);
    this.timeObserver = new JobTimeObserver(clock, log);
    const onLoaded = () => this.wakeup.notify();
    this.jobs = new OwnedJobDirectory({...parts, index: this.index, onLoaded});
    this.records = new JobRecords(table, clock, log);
    this.acceptance = new JobAcceptance({
      ...parts,
      records: this.records,
      requireLease: () => this.requireLease(),
      onAccepted: record => this.addAccepted(record),
    });
    const agentClient = new RunAgentClient(parts);
    const {agents, index, interferenceObserver} = this;
    this.entryListPublisher = new EntryListPublisher(entryName, agents, clock);
    const jobOf = (job: string) => this.jobs.get(job);
    const shared = {agents, index, agentClient, clock, log, metrics, jobOf};
    const packing = new PackingRunPlacementPolicy(interferenceObserver.model);
    const isolating = new IsolatingRunPlacementPolicy(packing);
    const reservations = new RunReservations(shared, isolating);
    this.reconciler = new JobReconciler({
      ...shared,
      durations: reservations.durations,
      owns: job => table().owns(job),
      isLeaseHeld: () => parts.ownership().isHeld,
      isUnfinished: job => this.records.get(job)?.state === 'accepted',
      persist: (job, onDurable) => this.persist(job, onDurable),
    });
    this.scheduler = new JobScheduler({
      ...shared,
      views,
      policy: reservations.policy,
      reservations,
      order: new ContentionJobOrder(),
      unschedulableReason: agent => this.renewer.unschedulableReason(agent),
      domainsOut: parts.domainsOut,
    });
    const {scheduler, reconciler} = this;
    this.relocator = new RunRelocator({...shared, scheduler, reconciler});
    this.receiver = new AgentReportReceiver({
      ...shared,
      reconciler,
      interferenceObserver,
      onApplied: () => this.wakeup.notify(),
      onWorkerGone: agent => this.renewer.renewAgent(agent),
      onIntroduced: agent => this.renewer.renewAgent(agent),
    });
    this.renewer = new RunPermissionRenewer({
      ...parts,
      ...shared,
      observer: interferenceObserver,
      onReport: (...report) => this.receiver.apply(...report),
      onExpired: agent => reconciler.markRunsLost(agent),
      onListed: () => this.wakeup.notify(),
    });
  }

  /** Accepts a job of a queue; idempotent by the job's id. */
  async submit(job: JobSubmission, deadline: number): Promise<JobStatus> {
    const known = this.records.get(job.id);
    if (known) return this.statusOf(known);
    return this.statusOf(await this.acceptance.accept(job, deadline));
  }

  /** State of a job; `unknown-object` when there is none. */
  status(id: string): JobStatus {
    return this.statusOf(this.records.require(id));
  }

  /** Cancels a job and stops its runs. */
  async cancel(id: string): Promise<JobStatus> {
    this.records.require(id);
    this.requireLease();
    const record = await this.records.cancel(id);
    this.jobObserver.cancelled(record);
    if (record.state !== 'accepted') this.endJob(id);
    return this.statusOf(record);
  }

  /** Number of the owned jobs of a queue for which no task has started. */
  pending(queue: string): number {
    return this.jobs.pending(queue);
  }

  /** Adds the unfinished jobs of a shard that this entry has gained. */
  shardGained(shard: number, records: readonly ShardRecord[]): void {
    const unfinished = records.filter(
      one => one.kind === 'job' && one.state === 'accepted',
    );
    const ids = unfinished.map(one => one.key);
    this.jobs.addAll(shard, ids);
    this.jobObserver.shardGained(shard, unfinished.length);
    this.renewer.shardGained(shard);
  }

  /** Removes the jobs of a shard that this entry has lost. */
  shardLost(shard: number): void {
    this.renewer.shardLost(shard);
    for (const agent of this.agents.all) agent.endings.forgetOpen();
    this.jobs.removeShard(shard);
    this.jobObserver.shardLost(shard);
  }

  /** Starts a placement round, since something has changed. */
  notify(): void {
    this.wakeup.notify();
  }

  /** Renews the run permissions at once. */
  renewPermissions(): void {
    this.renewer.renewAll();
  }

  /** Earlier owners that are waited for and may not know this entry. */
  get unawareOwners(): readonly string[] {
    return this.renewer.unawareOwners;
  }

  /** Publishes the list of registered entries to linked agents. */
  broadcastEntries(entries: readonly EntryMember[]): void {
    void this.entryListPublisher.publish(entries);
  }

  /** Applies the report with which an agent joins on a new link. */
  agentJoined(report: WorkerReport, link: Link): void {
    this.receiver.receive(report, link);
    this.renewer.renewAgent(report.agent);
    link.closed.addEventListener('abort', () => this.wakeup.notify());
  }

  /** Applies a report that an agent sent unasked. */
  agentReported(report: WorkerReport, link: Link): void {
    this.receiver.receiveNotified(report, link);
  }

  /** Applies the change of a report that an agent sent unasked. */
  agentReportChanged(change: WorkerReportChange, link: Link): void {
    this.receiver.receiveChange(change, link);
  }

  /** Background loops of the owner, until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const place = () => this.runPlacement(signal);
    await Promise.all([
      this.renewer.run(signal),
      superviseLoop('placement', place, {...this.parts, signal}),
    ]);
  }

  private addAccepted(record: JobRecord): void {
    this.jobObserver.accepted(record);
    this.jobs.add(record.key);
    this.wakeup.notify();
  }

  /** Rejects a change at once if it could not become durable. */
  private requireLease(): void {
    if (this.parts.ownership().isHeld) return;
    const message = 'the owner has lost contact with the store';
    throw new ChicoryspringError('lease-lapsed', message);
  }

  private async runPlacement(signal: AbortSignal): Promise<void> {
    const {jobs, renewer} = this;
    const placeable = new PlaceableJobs({...this.parts, jobs, renewer});
    while (!signal.aborted) {
      this.renewer.expireAgents();
      const {clock} = this.parts;
      const begunAt = clock.now();
      if (this.parts.ownership().isHeld) this.placeOnce(placeable.all);
      const pause = (clock.now() - begunAt) * PAUSE_SHARE;
      const next = clock.now() + INTERVAL_MILLISECONDS;
      await this.wakeup.waitUntil(clock, next, signal);
      const wait = Math.max(MIN_INTERVAL_MILLISECONDS, pause);
      await clock.sleepUntil(clock.now() + wait, signal);
    }
  }

  private placeOnce(jobs: readonly OwnedJob[]): void {
    const {scheduler, jobObserver, relocator, timeObserver} = this;
    scheduler.place(jobs);
    jobObserver.waitingTasks(scheduler.unplacedTasks);
    relocator.relocate(jobs);
    timeObserver.observe(jobs, job => scheduler.hasUnplacedTasks(job));
  }

  private persist(job: OwnedJob, onDurable: () => void): void {
    this.records.persist(job, ({state}) => {
      onDurable();
      const isCurrent = this.jobs.get(job.id) === job;
      if (state === 'accepted' || !isCurrent) return;
      this.jobObserver.ended(job);
      this.endJob(job.id);
    });
    if (job.outcome !== 'failed') return;
    // The runs of a failed job are of no use while that becomes durable.
    this.stopRuns(job);
  }

  /** Stops the runs of an ended job and removes it. */
  private endJob(id: string): void {
    const job = this.jobs.get(id);
    if (job) this.stopRuns(job);
    this.jobs.remove(id);
    this.wakeup.notify();
  }

  private stopRuns(job: OwnedJob): void {
    for (const task of job.tasks) {
      const agent = task.run && this.agents.get(task.run.agent);
      if (agent) this.reconciler.stop(job, task, agent);
    }
  }

  private statusOf(record: JobRecord): JobStatus {
    if (record.state !== 'accepted') return record.state;
    return this.jobs.get(record.key)?.status ?? 'queued';
  }
}
