import {
  ChicoryspringError,
  Wakeup,
  toChicoryspringError,
  type Clock,
  type EntryMember,
  type Job,
  type JobRecord,
  type JobStatus,
  type JobTerms,
  type WorkerReport,
} from '@chicoryspring/contracts';
import {
  OwnedJobStore,
  PackingRunPlacementPolicy,
  ShardSettlementStore,
} from '@chicoryspring/jobs';
import {entriesKnownMethod, type Link} from '@chicoryspring/links';
import type {StateLog} from '@chicoryspring/observability';
import type {ShardRecord, ShardTable} from '@chicoryspring/shards';
import type {Store} from '@chicoryspring/store';
import type {Ownership} from '../tasks/ownership_types.js';
import {AgentRegistry} from './agent_registry_behaviour.js';
import type {FleetAgentStore} from './fleet_agent_store.js';
import {FleetAgentsStore} from './fleet_agents_store.js';
import {InterferenceObserver} from './interference_observer_behaviour.js';
import {JobReconciler} from './job_reconciler_behaviour.js';
import {JobRecords} from './job_records_behaviour.js';
import {JobScheduler} from './job_scheduler_behaviour.js';
import {RunCalls} from './run_calls_behaviour.js';
import {RunIndexStore} from './run_index_store.js';

/** Time for which an agent may keep runs alive without its owner. */
const PERMISSION_MILLISECONDS = 2_500;
/**
 * Time after the last permission at which everything on an agent has ended:
 * the permission, a worker's lease of 6 s on a clock 2% slow, and a margin.
 */
const SILENT_MILLISECONDS = PERMISSION_MILLISECONDS + 6_120 + 400;
/** Time for which an earlier owner may not yet know that it lost contact. */
const EARLIER_OWNER_MILLISECONDS = 2_000;
const HOLD_ROUND_MILLISECONDS = 500;
/** Time between two looks for runs that would do better elsewhere. */
const RELOCATION_MILLISECONDS = 1_000;
/** Time for which a run that was moved away does not come back. */
const AWAY_MILLISECONDS = 5_000;
const ROUND_MILLISECONDS = 250;
/** Least time between two rounds, so that a burst of changes costs few. */
const LEAST_ROUND_MILLISECONDS = 5;

interface JobOwnerParts {
  readonly store: Store;
  readonly table: () => ShardTable;
  readonly clock: Clock;
  readonly log: StateLog;
  readonly ownership: () => Ownership;
  /** Time of unbroken contact with the store, in milliseconds. */
  readonly contactMilliseconds: () => number;
  readonly termsOf: (queue: string) => JobTerms | undefined;
  readonly domainsOut: () => readonly string[];
}

/** Owns the jobs of this entry's shards: accepts, places and ends them. */
export class JobOwner {
  private readonly jobs = new Map<string, OwnedJobStore>();
  private readonly agents = new FleetAgentsStore();
  private readonly index = new RunIndexStore();
  private readonly settlements = new Map<number, ShardSettlementStore>();
  private readonly wakeup = new Wakeup();
  private readonly holdWakeup = new Wakeup();
  private readonly records: JobRecords;
  private readonly registry: AgentRegistry;
  private readonly calls: RunCalls;
  private readonly reconciler: JobReconciler;
  private readonly scheduler: JobScheduler;
  private nextRelocation = 0;
  private readonly observer: InterferenceObserver;

  constructor(private readonly parts: JobOwnerParts) {
    const {store, table, clock, log, domainsOut} = parts;
    const {agents, index} = this;
    this.observer = new InterferenceObserver(clock);
    this.records = new JobRecords(table, clock, log);
    this.registry = new AgentRegistry(store, clock, log, () =>
      this.holdWakeup.notify(),
    );
    this.calls = new RunCalls(table, clock, log);
    const {calls} = this;
    this.reconciler = new JobReconciler({
      owns: job => table().owns(job),
      jobOf: job => this.jobs.get(job),
      index,
      calls,
      clock,
      log,
      persist: (job, onDurable) => this.persist(job, onDurable),
    });
    this.scheduler = new JobScheduler({
      agents,
      index,
      calls,
      policy: new PackingRunPlacementPolicy(this.observer.interference),
      clock,
      log,
      mayUse: agent => this.registry.has(agent.name) && agent.permittedAt > 0,
      domainsOut,
    });
  }

  /** Accepts a job of a queue; a repeat finds the one that was accepted. */
  async submit(job: Job, deadline: number): Promise<JobStatus> {
    const known = this.records.get(job.id);
    if (known) return this.statusOf(known);
    const terms = this.parts.termsOf(job.queue);
    if (!terms) {
      const message = `there is no queue ${job.queue}`;
      throw new ChicoryspringError('unknown-route', message);
    }
    const record = await this.records.accept(job, terms, deadline);
    const {id, queue} = job;
    this.parts.log.change('job accepted', {jobId: id, queue});
    this.own(record);
    this.wakeup.notify();
    return this.statusOf(record);
  }

  /** State of a job; `unknown-object` when there is none. */
  status(id: string): JobStatus {
    const record = this.records.get(id);
    if (record) return this.statusOf(record);
    throw new ChicoryspringError('unknown-object', 'there is no such job');
  }

  /** Cancels a job; its runs are told to stop at once. */
  async cancel(id: string): Promise<JobStatus> {
    if (!this.records.get(id)) {
      throw new ChicoryspringError('unknown-object', 'there is no such job');
    }
    const record = await this.records.cancel(id);
    this.parts.log.change('job cancelled', {jobId: id, state: record.state});
    if (record.state !== 'accepted') this.drop(id);
    return this.statusOf(record);
  }

  /** Number of the owned jobs of a queue for which no task has started. */
  pending(queue: string): number {
    const jobs = [...this.jobs.values()];
    const isPending = (one: OwnedJobStore) =>
      one.record.job.queue === queue && !one.isBegun;
    return jobs.filter(isPending).length;
  }

  /** Takes in the jobs of a shard that this entry has gained. */
  takeOver(shard: number, records: readonly ShardRecord[]): void {
    const {clock, contactMilliseconds, log} = this.parts;
    const isNew = contactMilliseconds() < SILENT_MILLISECONDS;
    const extra = isNew ? EARLIER_OWNER_MILLISECONDS : 0;
    const silentDeadline = clock.now() + SILENT_MILLISECONDS + extra;
    this.settlements.set(shard, new ShardSettlementStore(silentDeadline));
    let jobs = 0;
    for (const record of records) {
      if (record.kind !== 'job' || record.state !== 'accepted') continue;
      this.own(record);
      jobs += 1;
    }
    log.change('shard gained', {shard, jobs});
    void this.registry.refresh();
    this.holdWakeup.notify();
  }

  /** Forgets the jobs of a shard that this entry has lost. */
  letGo(shard: number, records: readonly ShardRecord[]): void {
    this.settlements.delete(shard);
    for (const {key} of records) this.forget(key);
    for (const id of this.jobs.keys()) {
      if (this.parts.table().shardOf(id) === shard) this.forget(id);
    }
    this.parts.log.change('shard lost', {shard});
  }

  /** Lets the owner look again, since something has changed. */
  notify(): void {
    this.wakeup.notify();
  }

  /** Tells every linked agent which entries there are. */
  spreadEntries(entries: readonly EntryMember[]): void {
    for (const {link} of this.agents.all) {
      if (link?.isOpen) link.notify(entriesKnownMethod, {entries});
    }
  }

  /** Takes in the greeting of an agent on a new link. */
  agentJoined(report: WorkerReport, link: Link): void {
    this.takeIn(report, link, true);
    this.holdWakeup.notify();
    link.closed.addEventListener('abort', () => this.wakeup.notify());
  }

  /** Takes in a report that an agent sent by itself. */
  agentReported(report: WorkerReport, link: Link): void {
    this.takeIn(report, link, false);
  }

  /** The tasks of the owner, until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([
      this.registry.run(signal),
      this.holdAgents(signal),
      this.placeJobs(signal),
    ]);
  }

  private async placeJobs(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.dropSilentAgents();
      if (this.parts.ownership().isHeld) this.placeOnce();
      await this.waitFor(this.wakeup, ROUND_MILLISECONDS, signal);
      const next = this.parts.clock.now() + LEAST_ROUND_MILLISECONDS;
      await this.parts.clock.sleepUntil(next, signal);
    }
  }

  private placeOnce(): void {
    const jobs = this.settledJobs();
    this.scheduler.place(jobs);
    const now = this.parts.clock.now();
    if (now < this.nextRelocation) return;
    this.nextRelocation = now + RELOCATION_MILLISECONDS;
    for (const {job, task, agent} of this.scheduler.misplaced(jobs)) {
      const known = this.agents.get(agent);
      if (!known) continue;
      task.avoid(agent, now + AWAY_MILLISECONDS);
      this.parts.log.change('run moved away', {taskId: task.name, agent});
      this.reconciler.stop(job, task, known);
    }
  }

  /** Jobs of which it is known where their tasks run. */
  private settledJobs(): readonly OwnedJobStore[] {
    const {table, clock} = this.parts;
    const {isKnown, names} = this.registry;
    if (!isKnown) return [];
    const now = clock.now();
    const isSettled = (job: OwnedJobStore) =>
      this.settlements.get(table().shardOf(job.id))?.isSettled(names, now);
    return [...this.jobs.values()].filter(
      job => isSettled(job) && job.outcome === 'accepted',
    );
  }

  private async holdAgents(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      for (const agent of this.agents.all) this.holdIfOwner(agent);
      this.observer.spread(this.agents.all);
      await this.waitFor(this.holdWakeup, HOLD_ROUND_MILLISECONDS, signal);
    }
  }

  private holdIfOwner(agent: FleetAgentStore): void {
    const {table, ownership} = this.parts;
    if (!agent.link?.isOpen || table().ownedShards.length === 0) return;
    if (agent.isIdle) this.registry.remove(agent.name);
    else this.registry.add(agent.name);
    if (!this.registry.has(agent.name) || !ownership().mayRenew) return;
    void this.hold(agent);
  }

  /** Gives an agent permission, and learns what it answers for. */
  private async hold(agent: FleetAgentStore): Promise<void> {
    const {link} = agent;
    const shards = this.parts.table().ownedShards;
    const unsettled = shards.filter(one => this.isUnreported(one, agent));
    const isUnresolved = this.index
      .on(agent.name)
      .some(task => task.run?.isUnresolved);
    const wantsReport = unsettled.length > 0 || isUnresolved;
    agent.permittedAt = this.parts.clock.now();
    try {
      const {report, harms} = await this.calls.hold(
        agent,
        PERMISSION_MILLISECONDS,
        wantsReport,
      );
      if (!report || !link) return;
      this.observer.seed(harms ?? []);
      this.takeIn(report, link, wantsReport);
      if (!report.isComplete) return;
      for (const one of unsettled)
        this.settlements.get(one)?.report(agent.name);
      this.wakeup.notify();
    } catch (thrown) {
      const {kind, message} = toChicoryspringError(thrown);
      this.parts.log.change('agent not held', {
        agent: agent.name,
        kind,
        message,
      });
    }
  }

  private isUnreported(shard: number, agent: FleetAgentStore): boolean {
    return this.settlements.get(shard)?.hasReported(agent.name) === false;
  }

  private takeIn(report: WorkerReport, link: Link, wasAsked: boolean): void {
    const agent = this.agents.takeIn(report, link);
    if (!agent) return;
    this.reconciler.takeIn(agent, report, wasAsked);
    this.observer.observe(agent, this.scheduler.runsOn(agent.name));
    this.wakeup.notify();
  }

  private dropSilentAgents(): void {
    const now = this.parts.clock.now();
    for (const agent of this.agents.all) {
      const isSilent = now - agent.permittedAt > SILENT_MILLISECONDS;
      if (!isSilent || agent.isHeard) continue;
      this.reconciler.loseAll(agent);
      if (agent.permittedAt > 0) this.registry.remove(agent.name);
    }
    this.unlistUnheard(now);
  }

  /** Unlists agents that nobody has heard of since the shards were gained. */
  private unlistUnheard(now: number): void {
    const settlements = [...this.settlements.values()];
    if (!settlements.every(one => one.isSilenceOver(now))) return;
    if (settlements.length === 0) return;
    for (const name of this.registry.names) {
      if (!this.agents.get(name)) this.registry.remove(name);
    }
  }

  private persist(job: OwnedJobStore, onDurable: () => void): void {
    const {outcome} = job;
    this.records.persist(job, () => {
      onDurable();
      if (job.outcome === 'accepted' || !this.jobs.has(job.id)) return;
      this.parts.log.change('job ended', {jobId: job.id, state: job.outcome});
      this.drop(job.id);
    });
    if (outcome !== 'failed') return;
    // Nothing of a failed job needs to go on while that becomes durable.
    this.stopRuns(job);
  }

  private own(record: JobRecord): void {
    const {table, termsOf} = this.parts;
    if (this.jobs.has(record.key) || record.state !== 'accepted') return;
    const epoch = table().epochOf(table().shardOf(record.key)) ?? 0;
    const {queue} = record.job;
    const job = new OwnedJobStore(record, epoch, () => termsOf(queue));
    job.openDue(this.parts.clock.now());
    this.jobs.set(record.key, job);
  }

  /** Stops what runs of an ended job, and forgets it. */
  private drop(id: string): void {
    const job = this.jobs.get(id);
    if (job) this.stopRuns(job);
    this.forget(id);
    this.wakeup.notify();
  }

  private stopRuns(job: OwnedJobStore): void {
    for (const task of job.tasks) {
      const agent = task.run && this.agents.get(task.run.agent);
      if (agent) this.reconciler.stop(job, task, agent);
    }
  }

  private forget(id: string): void {
    const job = this.jobs.get(id);
    for (const task of job?.tasks ?? []) this.index.set(task, undefined);
    this.jobs.delete(id);
  }

  private statusOf(record: JobRecord): JobStatus {
    if (record.state !== 'accepted') return record.state;
    return this.jobs.get(record.key)?.status ?? 'queued';
  }

  private async waitFor(
    wakeup: Wakeup,
    milliseconds: number,
    signal: AbortSignal,
  ): Promise<void> {
    const round = new AbortController();
    const next = this.parts.clock.now() + milliseconds;
    await Promise.race([
      wakeup.wait(AbortSignal.any([round.signal, signal])),
      this.parts.clock.sleepUntil(next, round.signal),
    ]);
    round.abort();
  }
}
