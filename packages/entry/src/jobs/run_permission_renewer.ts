import {
  Wakeup,
  toChicoryspringError,
  type Clock,
} from '@chicoryspring/contracts';
import type {Link} from '@chicoryspring/links';
import {
  superviseLoop,
  type Metrics,
  type StateLog,
} from '@chicoryspring/observability';
import type {ShardReconciliation} from '@chicoryspring/jobs';
import type {ShardTable} from '@chicoryspring/shards';
import type {Store} from '@chicoryspring/store';
import type {EarlierOwnerBounds} from '../membership/earlier_owner_bounds_types.js';
import type {Ownership} from '../tasks/ownership_types.js';
import {AgentRegistry} from '../agent_lists/agent_registry.js';
import type {FleetAgent} from './fleet_agent.js';
import type {FleetAgentDirectory} from './fleet_agent_directory.js';
import type {InterferenceObserver} from './interference_observer.js';
import {RUN_LEASE_BOUNDS} from './run_lease_bounds.js';
import type {ApplyReport} from '../renewals/apply_report_types.js';
import type {RenewalCall} from '../renewals/renewal_call_types.js';
import {PermittedShards} from '../renewals/permitted_shards.js';
import {RenewalSchedule} from '../renewals/renewal_schedule.js';
import {RenewalResults} from '../renewals/renewal_results.js';
import {ReportDemand} from '../renewals/report_demand.js';
import {UnansweredRenewals} from '../renewals/unanswered_renewals.js';
import {ShardReconciliations} from '../reconciliation/shard_reconciliations.js';
import {SilentAgentMarker} from '../agent_lists/silent_agent_marker.js';
import {ShardWaitLog} from '../reconciliation/shard_wait_log.js';
import type {RunAgentClient} from './run_agent_client.js';
import type {RunIndex} from './run_index.js';

const {permissionMilliseconds, workerLeaseMilliseconds} = RUN_LEASE_BOUNDS;
const RENEWAL_INTERVAL_MILLISECONDS = 500;

interface RunPermissionRenewerParts {
  readonly entryName: string;
  readonly store: Store;
  readonly table: () => ShardTable;
  readonly clock: Clock;
  readonly log: StateLog;
  readonly metrics: Metrics;
  readonly ownership: () => Ownership;
  readonly earlierOwners: EarlierOwnerBounds;
  readonly agents: FleetAgentDirectory;
  readonly index: RunIndex;
  readonly agentClient: RunAgentClient;
  readonly observer: InterferenceObserver;
  readonly onReport: ApplyReport;
  /** All runs on an agent have certainly ended. */
  readonly onExpired: (agent: FleetAgent) => void;
  /** An agent may now be listed, so that it can get runs. */
  readonly onListed: () => void;
}

/**
 * Renews the run permission of every agent for the owned shards, and
 * reconciles shards that were gained.
 */
export class RunPermissionRenewer {
  private readonly wakeup = new Wakeup();
  private readonly schedule: RenewalSchedule;
  private readonly unanswered = new UnansweredRenewals();
  private readonly reportDemand: ReportDemand;
  private readonly results: RenewalResults;
  private readonly permittedShards: PermittedShards;
  private readonly registry: AgentRegistry;
  private readonly reconciliations: ShardReconciliations;
  private readonly waitLog: ShardWaitLog;
  private readonly silentAgentMarker: SilentAgentMarker;

  constructor(private readonly parts: RunPermissionRenewerParts) {
    const {store, clock, log, agents, entryName} = parts;
    this.schedule = new RenewalSchedule(clock, RENEWAL_INTERVAL_MILLISECONDS);
    const {unanswered} = this;
    this.reportDemand = new ReportDemand({...parts, unanswered});
    this.results = new RenewalResults(parts);
    const onListed = () => this.listsChanged();
    const registry = new AgentRegistry(store, clock, log, onListed, entryName);
    this.registry = registry;
    this.permittedShards = new PermittedShards({...parts, registry});
    this.reconciliations = new ShardReconciliations({...parts, registry});
    this.waitLog = new ShardWaitLog(clock, log);
    this.silentAgentMarker = new SilentAgentMarker({
      registry,
      clock,
      isLinked: name => agents.get(name)?.link?.isOpen === true,
      isPermitted: name =>
        (agents.get(name)?.permissionDeadline ?? 0) > clock.now(),
      expiryOf: (shard, name) => this.expiryOf(shard, name),
    });
  }

  /** Renews for every agent, since something has changed for all of them. */
  renewAll(): void {
    this.schedule.makeAllDue();
    this.wakeup.notify();
  }

  /** Renews for an agent, since something has changed for it. */
  renewAgent(name: string): void {
    this.schedule.makeDue(name);
    this.wakeup.notify();
  }

  /** Starts to reconcile a shard that this entry has gained. */
  shardGained(shard: number): void {
    this.reconciliations.shardGained(shard);
    const epoch = this.parts.table().epochOf(shard) ?? 0;
    this.registry.shardGained(shard, epoch);
    this.waitLog.shardGained(shard);
    this.renewAll();
  }

  shardLost(shard: number): void {
    this.reconciliations.shardLost(shard);
    this.registry.shardLost(shard);
    this.waitLog.shardLost(shard);
  }

  /** Earlier owners that are waited for and may not know this entry. */
  get unawareOwners(): readonly string[] {
    return this.reconciliations.unawareOwners;
  }

  /** Whether it is known where the tasks of the shard may run. */
  isReconciled(shard: number): boolean {
    return this.reconciliations.isReconciled(shard);
  }

  /** Whether it is known which agents may have runs of earlier owners of the shard. */
  isListed(shard: number): boolean {
    return this.registry.isLoaded(shard);
  }

  /**
   * Why an agent may not get runs, if so. It may if it is listed, so that the next
   * owner waits for it, and has a permission, which bounds how long they go on
   * unseen.
   */
  unschedulableReason(agent: FleetAgent): string | undefined {
    const hasPermission = agent.permissionDeadline > this.parts.clock.now();
    if (!hasPermission) return 'no permission';
    return this.registry.has(agent.name) ? undefined : 'not listed';
  }

  /** Background loops that renew run permissions and list the agents. */
  async run(signal: AbortSignal): Promise<void> {
    const supervision = {...this.parts, signal};
    const list = () => this.registry.run(signal);
    const renew = () => this.runRenewal(signal);
    await Promise.all([
      superviseLoop('agent lists', list, supervision),
      superviseLoop('run permissions', renew, supervision),
    ]);
  }

  /** Drops the runs on agents without contact past every lease. */
  expireAgents(): void {
    const now = this.parts.clock.now();
    for (const agent of this.parts.agents.all) {
      const expiry = agent.lastPermissionDeadline + workerLeaseMilliseconds;
      if (now <= expiry || agent.hasFullReport) continue;
      this.parts.onExpired(agent);
      this.registry.remove(agent.name);
    }
    for (const shard of this.reconciliations.shards) {
      if (this.isReconciled(shard)) {
        this.registry.dropInherited(shard);
        this.waitLog.reconciled(shard);
      } else this.waitLog.waiting(shard, this.reconciliations.waitOf(shard));
    }
  }

  private async runRenewal(signal: AbortSignal): Promise<void> {
    const {clock} = this.parts;
    while (!signal.aborted) {
      this.renewDue();
      await this.wakeup.waitUntil(clock, this.schedule.deadline, signal);
    }
  }

  private renewDue(): void {
    const {agents, observer, ownership} = this.parts;
    const names = agents.all.map(one => one.name);
    const {isInterval, due} = this.schedule.take(names);
    for (const name of due) this.renewIfOwner(agents.get(name)!, isInterval);
    if (ownership().isHeld) this.silentAgentMarker.markAll();
    if (isInterval) observer.publish();
  }

  private renewIfOwner(agent: FleetAgent, isInterval: boolean): void {
    const {table, ownership} = this.parts;
    const {link, name} = agent;
    if (!link?.isOpen || table().ownedShards.length === 0) return;
    if (agent.hasNoWorker) this.registry.removeLinked(name);
    else this.registry.add(name);
    if (!ownership().mayRenew) return;
    if (!isInterval && this.unanswered.isAnyOn(link)) {
      this.schedule.makeDue(name);
      return;
    }
    const permitted = this.permittedShards.take(name);
    if (permitted.length === 0) return;
    this.registry.recordPermission(permitted, name);
    void this.renew(agent, link, permitted);
  }

  private listsChanged(): void {
    for (const name of this.permittedShards.widenedAgents)
      this.renewAgent(name);
    this.parts.onListed();
  }

  /** Local instant at which all runs of the shard on an agent have ended. */
  private expiryOf(shard: number, name: string): number {
    const deadline = this.parts.agents.get(name)?.lastPermissionDeadline ?? 0;
    return this.reconciliations.expiryOf(shard, name, deadline);
  }

  /** Renews the permission of an agent and applies the report it returns. */
  private async renew(
    agent: FleetAgent,
    link: Link,
    shards: readonly number[],
  ): Promise<void> {
    const {agentClient, clock, log} = this.parts;
    const {isHeld, provenAt} = this.parts.ownership();
    const {name} = agent;
    // A reconciliation belongs to one ownership, whose epoch the call carries.
    const unreported = this.reconciliations.unreported(shards, name);
    const now = clock.now();
    const limit = ShardReconciliations.permissionLimit(unreported, now);
    const deadline = Math.min(provenAt + permissionMilliseconds, limit);
    agent.permissionDeadline = Math.max(agent.permissionDeadline, deadline);
    const call = this.createCall(name, link, unreported);
    this.unanswered.add(call);
    try {
      const renewal = [agent, shards, isHeld, call] as const;
      const result = await agentClient.renewPermission(...renewal);
      if (!this.results.apply(agent, call, result, unreported)) return;
      // The limit is gone, but the permission was sent with it.
      if (deadline === limit) this.schedule.makeDue(name);
    } catch (thrown) {
      const {kind, message} = toChicoryspringError(thrown);
      log.change('run permission not renewed', {agent: name, kind, message});
    } finally {
      this.callEnded(name, call);
    }
  }

  private createCall(
    agent: string,
    link: Link,
    unreported: readonly ShardReconciliation[],
  ): RenewalCall {
    const {clock, metrics} = this.parts;
    const wantsReport = this.reportDemand.wantsReport(agent, link, unreported);
    const content = wantsReport ? 'report' : 'plain';
    metrics.increment('entry.run_permission_renewals', {content});
    return {
      link,
      sentAt: clock.now(),
      wantsReport,
      reconciliations: wantsReport ? unreported : [],
    };
  }

  private callEnded(name: string, call: RenewalCall): void {
    this.unanswered.remove(call);
    if (this.schedule.isDue(name)) this.wakeup.notify();
  }
}
