import type {Clock} from '@chicoryspring/contracts';
import {ShardReconciliation} from '@chicoryspring/jobs';
import type {EarlierOwnerBounds} from '../membership/earlier_owner_bounds_types.js';
import type {AgentRegistry} from '../agent_lists/agent_registry.js';
import type {FleetAgent} from '../jobs/fleet_agent.js';
import {RUN_LEASE_BOUNDS} from '../jobs/run_lease_bounds.js';

const {permissionMilliseconds, workerLeaseMilliseconds, runMilliseconds} =
  RUN_LEASE_BOUNDS;

interface ShardReconciliationsParts {
  readonly registry: AgentRegistry;
  readonly clock: Clock;
  readonly earlierOwners: EarlierOwnerBounds;
}

/**
 * The reconciliations of the shards that this entry owns.
 *
 * A shard is reconciled once each listed agent has reported under the
 * ownership, or has had no contact until the leases of its runs have expired.
 */
export class ShardReconciliations {
  private readonly byShard = new Map<number, ShardReconciliation>();

  constructor(private readonly parts: ShardReconciliationsParts) {}

  get shards(): readonly number[] {
    return [...this.byShard.keys()];
  }

  /** Starts to reconcile a shard that this entry has gained. */
  shardGained(shard: number): void {
    const {registry, clock, earlierOwners} = this.parts;
    const gainedAt = clock.now();
    const expiry = () => {
      const owners = registry.earlierOwners(shard);
      const latestProof = earlierOwners.latestProofOf(owners, gainedAt);
      return latestProof + runMilliseconds;
    };
    this.byShard.set(shard, new ShardReconciliation(gainedAt, expiry));
  }

  shardLost(shard: number): void {
    this.byShard.delete(shard);
  }

  /** Whether it is known where the tasks of the shard may run. */
  isReconciled(shard: number): boolean {
    const {registry, clock} = this.parts;
    if (!registry.isLoaded(shard)) return false;
    const agents = registry.inheritedAgents(shard);
    return this.byShard.get(shard)?.isReconciled(agents, clock.now()) === true;
  }

  /** Earlier owners of shards that aren't reconciled which may not know this entry. */
  get unawareOwners(): readonly string[] {
    const {registry, earlierOwners} = this.parts;
    const owners = [...this.byShard].flatMap(([shard, {gainedAt}]) =>
      this.isReconciled(shard)
        ? []
        : earlierOwners.unawareOf(registry.earlierOwners(shard), gainedAt),
    );
    return [...new Set(owners)];
  }

  /** The reconciliations of these shards for which the agent hasn't reported. */
  unreported(
    shards: readonly number[],
    agent: string,
  ): readonly ShardReconciliation[] {
    return shards
      .flatMap(shard => this.byShard.get(shard) ?? [])
      .filter(one => !one.hasReported(agent));
  }

  /** What a shard that isn't reconciled waits for. */
  waitOf(shard: number) {
    const {registry, earlierOwners} = this.parts;
    const reconciliation = this.byShard.get(shard)!;
    const agents = registry.inheritedAgents(shard);
    const owners = registry.earlierOwners(shard);
    return {
      isListed: registry.isLoaded(shard),
      agents: reconciliation.unreported(agents),
      earlierOwners: owners,
      unawareOwners: earlierOwners.unawareOf(owners, reconciliation.gainedAt),
      deadline: reconciliation.expiryDeadline,
    };
  }

  /**
   * Local instant at which all runs of the shard on an agent have ended, whose own
   * permissions end at the other one.
   */
  expiryOf(shard: number, name: string, permissionDeadline: number): number {
    const knownExpiry = permissionDeadline + workerLeaseMilliseconds;
    const reconciliation = this.byShard.get(shard);
    if (!reconciliation || reconciliation.hasReported(name)) return knownExpiry;
    return Math.max(knownExpiry, reconciliation.expiryDeadline);
  }

  /**
   * Latest end of the permission of an agent that hasn't reported yet under these
   * ownerships. The owner may not hear it, and counts its runs as over after that:
   * as soon as if no earlier owner had a proof after the gain, if that becomes known.
   */
  static permissionLimit(
    unreported: readonly ShardReconciliation[],
    now: number,
  ): number {
    const pending = unreported.filter(
      one => !one.haveUnreportedAgentsExpired(now),
    );
    const gains = pending.map(one => one.gainedAt);
    return Math.min(...gains) + permissionMilliseconds;
  }

  /**
   * Records that the agent has reported under an ownership by now. Until its call
   * arrived there, the agent kept to the permission of the earlier owner, which may
   * have been the longer one.
   */
  static recordReport(
    reconciliation: ShardReconciliation,
    agent: FleetAgent,
    now: number,
  ): void {
    reconciliation.addReport(agent.name);
    const limit = reconciliation.expiryDeadline - workerLeaseMilliseconds;
    agent.earlierPermissionDeadline = Math.max(
      agent.earlierPermissionDeadline,
      Math.min(limit, now),
    );
  }
}
