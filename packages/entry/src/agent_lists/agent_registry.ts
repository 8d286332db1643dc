import {
  Wakeup,
  toChicoryspringError,
  type Clock,
} from '@chicoryspring/contracts';
import type {StateLog} from '@chicoryspring/observability';
import type {Store} from '@chicoryspring/store';
import {ShardAgentList} from './shard_agent_list.js';

const RETRY_MILLISECONDS = 300;
/** Time for which changes are collected for one write, as agents join. */
const BATCH_MILLISECONDS = 30;

/**
 * The agents that may have runs of this owner, on the durable list of each
 * owned shard.
 *
 * An agent gets no run before it is listed for every shard, so the next owner
 * of a shard knows from its list whose reports it needs. What another entry
 * knows of an agent changes no list of this one.
 */
export class AgentRegistry {
  private readonly wakeup = new Wakeup();
  private readonly agents = new Set<string>();
  private readonly lists = new Map<number, ShardAgentList>();

  constructor(
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly log: StateLog,
    private readonly onListed: () => void,
    /** Name of this entry. */
    private readonly owner: string,
  ) {}

  /** Whether it is known which agents may have runs of earlier owners. */
  isLoaded(shard: number): boolean {
    return this.lists.get(shard)?.isLoaded === true;
  }

  /** Agents on which there may be runs of earlier owners of the shard. */
  inheritedAgents(shard: number): readonly string[] {
    return this.lists.get(shard)?.inheritedAgents ?? [];
  }

  /** Owners of the shard before this one whose runs may go on. */
  earlierOwners(shard: number): readonly string[] {
    return this.lists.get(shard)?.earlierOwners ?? [];
  }

  /** Whether the next owner of the shard certainly finds the name of this one. */
  namesOwner(shard: number): boolean {
    return this.lists.get(shard)?.namesOwner === true;
  }

  /** Whether the agent may get a permission for the shard. */
  mayPermit(shard: number, agent: string): boolean {
    return this.lists.get(shard)?.mayPermit(agent) === true;
  }

  /** Shards whose lists certainly have the agent, and not as silent. */
  shardsWithLive(agent: string): readonly number[] {
    const found = [...this.lists].filter(([, one]) => one.has(agent));
    return found.map(([shard]) => shard);
  }

  /** Agents of this owner and of earlier ones that may have runs. */
  get names(): readonly string[] {
    const lists = [...this.lists.values()];
    const inherited = lists.flatMap(one => one.inheritedAgents);
    return [...new Set([...this.agents, ...inherited])];
  }

  /** Whether the next owner of any shard will know that it has to wait for it. */
  has(agent: string): boolean {
    const loaded = [...this.lists.values()].filter(one => one.isLoaded);
    return this.agents.has(agent) && loaded.every(one => one.has(agent));
  }

  /** Adds an agent to the lists with the next writes. */
  add(agent: string): void {
    const isUnmarked = this.unmarkSilent(agent);
    if (this.agents.has(agent) && !isUnmarked) return;
    this.agents.add(agent);
    this.wakeup.notify();
  }

  /**
   * An agent has no contact with this owner, and its runs of the shard end by that
   * local instant at the latest.
   */
  markSilent(shard: number, agent: string, expiry: number): void {
    this.lists.get(shard)?.markSilent(agent, expiry);
    this.wakeup.notify();
  }

  /** Has the lists written where the remaining times of agents are outdated. */
  updateRemaining(): void {
    const lists = [...this.lists.values()];
    if (lists.some(one => one.isOutdated)) this.wakeup.notify();
  }

  /** Removes an agent that certainly has no run of this owner. */
  remove(agent: string): void {
    if (!this.agents.delete(agent)) return;
    this.unmarkSilent(agent);
    this.wakeup.notify();
  }

  /** Removes an agent that is linked and has reported that it has no worker. */
  removeLinked(agent: string): void {
    if (this.unmarkSilent(agent)) this.wakeup.notify();
    this.remove(agent);
  }

  /** The agent is about to get a permission for the shards. */
  recordPermission(shards: readonly number[], agent: string): void {
    for (const shard of shards) this.lists.get(shard)?.recordPermission(agent);
  }

  /** Reads the list of a shard after its acquisition under this epoch. */
  shardGained(shard: number, epoch: number): void {
    const {store, clock, owner} = this;
    const list = new ShardAgentList(store, clock, shard, epoch, owner);
    this.lists.set(shard, list);
    this.wakeup.notify();
  }

  shardLost(shard: number): void {
    this.lists.delete(shard);
  }

  /** Drops the agents of earlier owners, once the shard is reconciled. */
  dropInherited(shard: number): void {
    if (this.lists.get(shard)?.dropInherited()) this.wakeup.notify();
  }

  /** Background loop that reads the lists and writes changes to them. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const lists = [...this.lists];
      const results = await Promise.all(
        lists.map(([shard, list]) => this.synchronize(shard, list)),
      );
      this.onListed();
      if (results.includes(false)) {
        await this.pause(RETRY_MILLISECONDS, signal);
        continue;
      }
      await this.wakeup.wait(signal);
      await this.pause(BATCH_MILLISECONDS, signal);
    }
  }

  /** Whether the agent was silent for any shard. */
  private unmarkSilent(agent: string): boolean {
    const marked = [...this.lists.values()].map(one => one.unmarkSilent(agent));
    return marked.includes(true);
  }

  /** Whether the list is up to date; a failure is logged and tried again. */
  private async synchronize(
    shard: number,
    list: ShardAgentList,
  ): Promise<boolean> {
    try {
      const isWritten = await list.synchronize(this.agents);
      // The shard may have another owner, of which this entry doesn't know yet.
      if (!isWritten) this.log.change('agent list has changed', {shard});
      return isWritten || this.lists.get(shard) !== list;
    } catch (thrown) {
      const {kind, message} = toChicoryspringError(thrown);
      this.log.change('agent list not updated', {shard, kind, message});
      return false;
    }
  }

  private async pause(milliseconds: number, signal: AbortSignal) {
    await this.clock.sleepUntil(this.clock.now() + milliseconds, signal);
  }
}
