import * as v from 'valibot';
import {ChicoryspringError, decodeJson} from '@chicoryspring/contracts';
import {ShardKeys} from '@chicoryspring/shards';
import type {Store} from '@chicoryspring/store';

const schema = v.array(v.string());

interface StoredList {
  readonly names: readonly string[];
  /** Revision of the list in the store; 0 if there is none. */
  readonly revision: number;
}

/**
 * The durable list of the agents that may have runs of one shard.
 *
 * Only the owner of the shard writes it: each write needs the ownership epoch,
 * so that what a new owner has read is final.
 */
export class ShardAgentList {
  /** As last read or written; undefined while a write may have failed. */
  private stored: StoredList | undefined;
  /** Revision on which a write that may still take effect depends. */
  private unansweredRevision: number | undefined;
  /** Agents that are certainly on the list, now and after a write in progress. */
  private certain: ReadonlySet<string> = new Set();
  /** Agents of earlier owners; undefined before the first read. */
  private inherited: readonly string[] | undefined;
  private hasSynchronized = false;

  constructor(
    private readonly store: Store,
    private readonly shard: number,
    private readonly epoch: number,
  ) {}

  /** Whether it is known which agents may have runs of earlier owners. */
  get isLoaded(): boolean {
    return this.hasSynchronized;
  }

  /** Agents on which there may be runs of earlier owners. */
  get inheritedAgents(): readonly string[] {
    return this.inherited ?? [];
  }

  has(agent: string): boolean {
    return this.certain.has(agent);
  }

  /**
   * No agent has a run of an earlier owner that this one doesn't know. Returns
   * whether that is new.
   */
  dropInherited(): boolean {
    const isNew = this.inheritedAgents.length > 0;
    if (isNew) this.inherited = [];
    return isNew;
  }

  /** Makes the list contain the agents of this owner and the inherited ones. */
  async synchronize(agents: ReadonlySet<string>): Promise<boolean> {
    const stored = this.stored ?? (await this.read());
    this.inherited ??= stored.names;
    const names = [...new Set([...this.inherited, ...agents])].sort();
    const isWritten = await this.write(names, stored);
    this.hasSynchronized ||= isWritten;
    return isWritten;
  }

  private async read(): Promise<StoredList> {
    const key = ShardKeys.agents(this.shard);
    const {values} = await this.store.readPrefix(key);
    const found = values.find(one => one.key === key);
    if (!found) return {names: [], revision: 0};
    const decoded = decodeJson(schema, found.value);
    if (decoded.isReadable)
      return {names: decoded.value, revision: found.revision};
    const message = `${key}: ${decoded.reason}`;
    throw new ChicoryspringError('record-unreadable', message);
  }

  /** Whether the list is as given; false if another write came before. */
  private async write(
    names: readonly string[],
    stored: StoredList,
  ): Promise<boolean> {
    const {shard, epoch} = this;
    const key = ShardKeys.agents(shard);
    const isPending = stored.revision === this.unansweredRevision;
    // Writing the same list again voids a pending write of another one.
    if (names.join() === stored.names.join() && !isPending) {
      this.stored = stored;
      this.certain = new Set(names);
      return true;
    }
    this.stored = undefined;
    this.unansweredRevision = stored.revision;
    this.certain = new Set(names.filter(one => this.certain.has(one)));
    const put = {kind: 'put' as const, key, value: JSON.stringify(names)};
    const {succeeded, revision} = await this.store.transact(
      [
        {key: ShardKeys.owner(shard), revision: epoch},
        {key, revision: stored.revision},
      ],
      [put],
    );
    if (!succeeded) return false;
    this.unansweredRevision = undefined;
    this.stored = {names, revision};
    this.certain = new Set(names);
    return true;
  }
}
