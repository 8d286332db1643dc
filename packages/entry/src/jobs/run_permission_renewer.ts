import {
  Wakeup,
  toChicoryspringError,
  type Clock,
  type WorkerReport,
} from '@chicoryspring/contracts';
import type {Link} from '@chicoryspring/links';
import {
  superviseLoop,
  type Metrics,
  type StateLog,
} from '@chicoryspring/observability';
import type {ShardTable} from '@chicoryspring/shards';
import type {Store} from '@chicoryspring/store';
import type {EarlierOwnerBounds} from '../membership/earlier_owner_bounds_types.js';
import type {Ownership} from '../tasks/ownership_types.js';
import {AgentRegistry} from '../agent_lists/agent_registry.js';
import type {FleetAgent} from './fleet_agent.js';
import type {FleetAgentDirectory} from './fleet_agent_directory.js';
import type {InterferenceObserver} from './interference_observer.js';
import {RUN_LEASE_BOUNDS} from './run_lease_bounds.js';
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
  /** Applies a report that was asked for then; false if it is outdated. */
  readonly onReport: (
    report: WorkerReport,
    link: Link,
    askedAt: number,
  ) => boolean;
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
  private readonly registry: AgentRegistry;
  private readonly reconciliations: ShardReconciliations;
  private readonly waitLog: ShardWaitLog;
  private readonly silentAgentMarker: SilentAgentMarker;
  /** Whether an agent gets no permission for a shard before a list is written. */
  private isAnyWithheld = false;

  constructor(private readonly parts: RunPermissionRenewerParts) {
    const {store, clock, log, agents, entryName} = parts;
    const onListed = () => this.listsChanged();
    const registry = new AgentRegistry(store, clock, log, onListed, entryName);
    this.registry = registry;
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

  /** Renews at once for every agent, since something has changed. */
  notify(): void {
    this.wakeup.notify();
  }

  /** Starts to reconcile a shard that this entry has gained. */
  shardGained(shard: number): void {
    this.reconciliations.shardGained(shard);
    const epoch = this.parts.table().epochOf(shard) ?? 0;
    this.registry.shardGained(shard, epoch);
    this.waitLog.shardGained(shard);
    this.notify();
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
    const {agents, observer, clock} = this.parts;
    while (!signal.aborted) {
      this.isAnyWithheld = false;
      for (const agent of agents.all) this.renewIfOwner(agent);
      if (this.parts.ownership().isHeld) this.silentAgentMarker.markAll();
      observer.publish(agents.all);
      const next = clock.now() + RENEWAL_INTERVAL_MILLISECONDS;
      await this.wakeup.waitUntil(clock, next, signal);
    }
  }

  private renewIfOwner(agent: FleetAgent): void {
    const {table, ownership} = this.parts;
    if (!agent.link?.isOpen || table().ownedShards.length === 0) return;
    if (agent.hasNoWorker) this.registry.removeLinked(agent.name);
    else this.registry.add(agent.name);
    const {isHeld, mayRenew} = ownership();
    if (!mayRenew) return;
    const {ownedShards} = table();
    // Without the lease, the next owner has to know of this one.
    const permitted = ownedShards.filter(
      shard =>
        (isHeld || this.registry.namesOwner(shard)) &&
        this.registry.mayPermit(shard, agent.name),
    );
    this.isAnyWithheld ||= permitted.length < ownedShards.length;
    if (permitted.length === 0) return;
    this.registry.recordPermission(permitted, agent.name);
    void this.renew(agent, permitted);
  }

  private listsChanged(): void {
    if (this.isAnyWithheld) this.notify();
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
    shards: readonly number[],
  ): Promise<void> {
    const {index, agentClient, clock, log, metrics} = this.parts;
    const {isHeld, provenAt} = this.parts.ownership();
    const {link, name} = agent;
    // A reconciliation belongs to one ownership, whose epoch the call carries.
    const unreported = this.reconciliations.unreported(shards, name);
    const now = clock.now();
    const isResolvable = index
      .tasksOn(name)
      .some(one => (one.run?.uncertainUntil ?? Infinity) < now);
    const wantsReport = unreported.length > 0 || isResolvable;
    const limit = ShardReconciliations.permissionLimit(unreported, now);
    const deadline = Math.min(provenAt + permissionMilliseconds, limit);
    agent.permissionDeadline = Math.max(agent.permissionDeadline, deadline);
    const content = wantsReport ? 'report' : 'plain';
    metrics.increment('entry.run_permission_renewals', {content});
    try {
      const {report, harms} = await agentClient.renewPermission(
        agent,
        shards,
        isHeld,
        wantsReport,
      );
      if (!report || !link) return;
      this.parts.observer.seed(harms ?? []);
      const isApplied = this.parts.onReport(report, link, now);
      if (!isApplied || !report.isComplete) return;
      for (const one of unreported)
        ShardReconciliations.recordReport(one, agent, clock.now());
      // The limit is gone, but the permission was sent with it.
      if (deadline === limit) this.notify();
    } catch (thrown) {
      const {kind, message} = toChicoryspringError(thrown);
      log.change('run permission not renewed', {agent: name, kind, message});
    }
  }
}
