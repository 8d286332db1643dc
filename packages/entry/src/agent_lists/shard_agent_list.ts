import * as v from 'valibot';
import {
  decodeJson,
  requireReadable,
  toChicoryspringError,
  type Clock,
} from '@chicoryspring/contracts';
import {ShardKeys} from '@chicoryspring/shards';
import type {Store} from '@chicoryspring/store';
import {MAX_CLOCK_RATIO} from '../membership/max_clock_ratio.js';
import {ListedAgent} from './listed_agent.js';
import {ListedOwner} from './listed_owner.js';
import {PossibleLists} from './possible_lists.js';

const schema = v.array(v.string());

/** Change of a remaining time for which the list is written again. */
const REWRITE_MILLISECONDS = 2_000;

interface StoredList {
  readonly elements: readonly string[];
  /** Revision of the list in the store; 0 if there is none. */
  readonly revision: number;
}

/**
 * The durable list of the agents that may have runs of one shard.
 *
 * Only the owner of the shard writes it: each write needs the ownership epoch,
 * so that what a new owner has read is final. It names its writer, and the owners
 * before it until their runs are known. A silent agent is listed with the
 * time until all its runs have ended, which the next owner takes over. It gets a
 * permission again only once the list certainly has it without that time.
 */
export class ShardAgentList {
  /** As last read or written; undefined while a write may have failed. */
  private stored: StoredList | undefined;
  private readonly possible = new PossibleLists();
  /** Agents of earlier owners; undefined before the first read. */
  private inherited: Set<string> | undefined;
  /** Owners that the list named when this one took it over. */
  private earlier: readonly string[] = [];
  /** Whether no run of an earlier owner goes on that this one doesn't know. */
  private isReconciled = false;
  /** Silent agents: local instants at which their runs have certainly ended. */
  private readonly silent = new Map<string, number>();
  /** The same of agents that were silent and got no permission since. */
  private readonly unpermitted = new Map<string, number>();

  constructor(
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly shard: number,
    private readonly epoch: number,
    /** Name of the entry that owns the shard under that epoch. */
    private readonly owner: string,
  ) {}

  /** Whether it is known which agents may have runs of earlier owners. */
  get isLoaded(): boolean {
    return this.inherited !== undefined;
  }

  /** Agents on which there may be runs of earlier owners. */
  get inheritedAgents(): readonly string[] {
    return [...(this.inherited ?? [])].filter(one => !this.isOver(one));
  }

  /** Owners of the shard whose runs this one had to find. */
  get earlierOwners(): readonly string[] {
    return this.earlier;
  }

  /** Whether the next owner certainly finds the name of this one. */
  get namesOwner(): boolean {
    return this.possible.has(new ListedOwner(this.owner).element);
  }

  /** Whether the next owner certainly waits for the agent as long as it can. */
  has(agent: string): boolean {
    return this.possible.has(agent);
  }

  /** Whether no owner may find the agent as silent. */
  mayPermit(agent: string): boolean {
    return !this.possible.mayBeSilent(agent);
  }

  /** The agent has no contact; all its runs end by that local instant. */
  markSilent(agent: string, expiry: number): void {
    const earlier = this.unpermitted.get(agent) ?? Infinity;
    this.silent.set(agent, Math.min(expiry, earlier));
  }

  /** The agent has contact, or certainly no run; returns whether that is new. */
  unmarkSilent(agent: string): boolean {
    const expiry = this.silent.get(agent);
    if (expiry !== undefined) this.unpermitted.set(agent, expiry);
    return this.silent.delete(agent);
  }

  /** The agent is about to get a permission, with which its runs may go on. */
  recordPermission(agent: string): void {
    this.unpermitted.delete(agent);
  }

  /** Whether the time that remains for a silent agent is to be written. */
  get isOutdated(): boolean {
    const {stored} = this;
    if (!stored) return false;
    const listed = silentAgentsOf(stored);
    return [...listed.values()].some(
      one => this.isOver(one.name) || this.listedAgent(one) !== one,
    );
  }

  /**
   * No agent has a run of an earlier owner that this one doesn't know. Returns
   * whether that is new.
   */
  dropInherited(): boolean {
    const isNew = (this.inherited?.size ?? 0) > 0;
    if (isNew) this.inherited = new Set();
    const isFirst = !this.isReconciled;
    this.isReconciled = true;
    return isNew || isFirst;
  }

  /** Makes the list contain the agents of this owner and the inherited ones. */
  async synchronize(agents: ReadonlySet<string>): Promise<boolean> {
    const stored = this.stored ?? (await this.read());
    return await this.write(this.elementsFor(agents, stored), stored);
  }

  private async read(): Promise<StoredList> {
    const key = ShardKeys.agents(this.shard);
    const {values} = await this.store.readPrefix(key);
    const found = values.find(one => one.key === key);
    const elements = found
      ? requireReadable(key, decodeJson(schema, found.value))
      : [];
    const revision = found?.revision ?? 0;
    this.possible.setKnown(elements, revision);
    if (!this.inherited) this.inherit(elements);
    return {elements, revision};
  }

  private inherit(elements: readonly string[]): void {
    const now = this.clock.now();
    this.earlier = ListedOwner.namesIn(elements);
    const listed = ListedAgent.allIn(elements);
    this.inherited = new Set(listed.map(one => one.name));
    const live = new Set(
      listed.filter(one => !one.isSilent).map(one => one.name),
    );
    for (const {name, remainingMilliseconds} of listed) {
      if (remainingMilliseconds === undefined || live.has(name)) continue;
      this.silent.set(name, now + remainingMilliseconds * MAX_CLOCK_RATIO);
    }
  }

  private isOver(agent: string): boolean {
    return (this.silent.get(agent) ?? Infinity) <= this.clock.now();
  }

  private elementsFor(
    agents: ReadonlySet<string>,
    stored: StoredList,
  ): readonly string[] {
    this.forgetInheritedOver(agents);
    const listed = silentAgentsOf(stored);
    const names = new Set([
      ...this.inherited!,
      ...agents,
      ...this.silent.keys(),
    ]);
    const elements = [...names]
      .filter(name => !this.isOver(name))
      .map(name => this.listedAgent(listed.get(name) ?? new ListedAgent(name)))
      .map(one => one.element);
    return [...elements, ...this.ownerElements].sort();
  }

  /** The owners whose runs the next one may have to find. */
  private get ownerElements(): readonly string[] {
    const earlier = this.isReconciled ? [] : this.earlier;
    const owners = new Set([...earlier, this.owner]);
    return [...owners].map(one => new ListedOwner(one).element);
  }

  /**
   * The agent as it is to be listed. A time that the list has stays true, since it
   * only grows less: it is written again once it is far too long.
   */
  private listedAgent(agent: ListedAgent): ListedAgent {
    const {name, remainingMilliseconds: listed = Infinity} = agent;
    const expiry = this.silent.get(name);
    if (expiry === undefined) return new ListedAgent(name);
    const remaining = Math.ceil(expiry - this.clock.now());
    if (listed - remaining < REWRITE_MILLISECONDS) return agent;
    return new ListedAgent(name, remaining);
  }

  /** Forgets silent agents that only earlier owners knew, once they are over. */
  private forgetInheritedOver(agents: ReadonlySet<string>): void {
    for (const name of [...this.silent.keys()]) {
      if (agents.has(name) || !this.isOver(name)) continue;
      this.silent.delete(name);
      this.inherited!.delete(name);
    }
  }

  /** Whether the list is as given; false if another write came before. */
  private async write(
    elements: readonly string[],
    stored: StoredList,
  ): Promise<boolean> {
    const {shard, epoch, possible} = this;
    const {revision} = stored;
    const key = ShardKeys.agents(shard);
    const isSame = elements.join() === stored.elements.join();
    // Writing the same list again voids a pending write of another one.
    if (isSame && !possible.isUncertain(revision)) {
      this.stored = stored;
      return true;
    }
    this.stored = undefined;
    const isNew = possible.addUnanswered(elements, revision);
    try {
      const written = await this.store.transact(
        [
          {key: ShardKeys.owner(shard), revision: epoch},
          {key, revision},
        ],
        [{kind: 'put', key, value: JSON.stringify(elements)}],
      );
      if (!written.succeeded) return false;
      this.stored = {elements, revision: written.revision};
      possible.setKnown(elements, written.revision);
      return true;
    } catch (thrown) {
      const {outcome} = toChicoryspringError(thrown).answer;
      if (isNew && outcome === 'not-run')
        possible.removeUnanswered(elements, revision);
      throw thrown;
    }
  }
}

/** The agents that the list has as silent, by name. */
function silentAgentsOf({
  elements,
}: StoredList): ReadonlyMap<string, ListedAgent> {
  const silent = ListedAgent.allIn(elements).filter(one => one.isSilent);
  return new Map(silent.map(one => [one.name, one]));
}
