import type {Clock} from '@chicoryspring/contracts';
import type {AgentRegistry} from './agent_registry.js';

/** Time without a link after which an agent counts as silent. */
const SILENCE_MILLISECONDS = 500;

interface SilentAgentMarkerParts {
  readonly registry: AgentRegistry;
  readonly clock: Clock;
  readonly isLinked: (agent: string) => boolean;
  /** Whether the agent may have a permission of this owner now. */
  readonly isPermitted: (agent: string) => boolean;
  /** Local instant at which all runs of the shard on the agent have ended. */
  readonly expiryOf: (shard: number, agent: string) => number;
}

/** Has the durable lists tell the next owners since when agents are silent. */
export class SilentAgentMarker {
  /** Local instant since which each agent has been without a link. */
  private silentSince: ReadonlyMap<string, number> = new Map();

  constructor(private readonly parts: SilentAgentMarkerParts) {}

  /** Marks the agents that have become silent, and updates the others. */
  markAll(): void {
    const {registry, clock, isLinked, isPermitted} = this.parts;
    const now = clock.now();
    const unlinked = registry.names.filter(one => !isLinked(one));
    this.silentSince = new Map(
      unlinked.map(one => [one, this.silentSince.get(one) ?? now]),
    );
    for (const [agent, since] of this.silentSince) {
      // It may come back while the store is away, and needs a permission then.
      if (now - since < SILENCE_MILLISECONDS || isPermitted(agent)) continue;
      this.mark(agent, now);
    }
    registry.updateRemaining();
  }

  private mark(agent: string, now: number): void {
    const {registry, expiryOf} = this.parts;
    for (const shard of registry.shardsWithLive(agent)) {
      const expiry = expiryOf(shard, agent);
      if (expiry > now) registry.markSilent(shard, agent, expiry);
    }
  }
}
