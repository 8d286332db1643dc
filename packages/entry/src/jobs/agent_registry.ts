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
  ) {}

  /** Whether it is known which agents may have runs of earlier owners. */
  isLoaded(shard: number): boolean {
    return this.lists.get(shard)?.isLoaded === true;
  }

  /** Agents on which there may be runs of earlier owners of the shard. */
  inheritedAgents(shard: number): readonly string[] {
    return this.lists.get(shard)?.inheritedAgents ?? [];
  }

  /** Whether the next owner of any shard will know that it has to wait for it. */
  has(agent: string): boolean {
    const loaded = [...this.lists.values()].filter(one => one.isLoaded);
    return this.agents.has(agent) && loaded.every(one => one.has(agent));
  }

  /** Adds an agent to the lists with the next writes. */
  add(agent: string): void {
    if (this.agents.has(agent)) return;
    this.agents.add(agent);
    this.wakeup.notify();
  }

  /** Removes an agent that certainly has no run of this owner. */
  remove(agent: string): void {
    if (this.agents.delete(agent)) this.wakeup.notify();
  }

  /** Reads the list of a shard after its acquisition under this epoch. */
  shardGained(shard: number, epoch: number): void {
    this.lists.set(shard, new ShardAgentList(this.store, shard, epoch));
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
