import type {ShardTable} from '@chicoryspring/shards';
import type {AgentRegistry} from '../agent_lists/agent_registry.js';
import type {Ownership} from '../tasks/ownership_types.js';

interface PermittedShardsParts {
  readonly table: () => ShardTable;
  readonly ownership: () => Ownership;
  readonly registry: AgentRegistry;
}

/** For which shards of this entry each agent may get a run permission. */
export class PermittedShards {
  /**
   * Agents that get none for some shards before lists are written, with the number
   * of shards for which they got one last.
   */
  private readonly withheldAgents = new Map<string, number>();

  constructor(private readonly parts: PermittedShardsParts) {}

  /** The shards for which the agent gets a permission now. */
  take(agent: string): readonly number[] {
    const permitted = this.of(agent);
    const isWithheld = permitted.length < this.parts.table().ownedShards.length;
    if (isWithheld) this.withheldAgents.set(agent, permitted.length);
    else this.withheldAgents.delete(agent);
    return permitted;
  }

  /** Agents that may get a permission for more shards than last. */
  get widenedAgents(): readonly string[] {
    return [...this.withheldAgents]
      .filter(([agent, count]) => this.of(agent).length > count)
      .map(([agent]) => agent);
  }

  private of(agent: string): readonly number[] {
    const {table, ownership, registry} = this.parts;
    const {isHeld} = ownership();
    // Without the lease, the next owner has to know of this one.
    return table().ownedShards.filter(
      shard =>
        (isHeld || registry.namesOwner(shard)) &&
        registry.mayPermit(shard, agent),
    );
  }
}
