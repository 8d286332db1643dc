import * as v from 'valibot';
import {
  entryMemberSchema,
  type Clock,
  type EntryMember,
} from '@chicoryspring/contracts';
import {
  ConfigurationPublisher,
  ConfigurationReader,
  ConfigurationStore,
} from '@chicoryspring/configuration';
import {ShardKeys, type FleetView} from '@chicoryspring/shards';
import type {Store, StoreChange} from '@chicoryspring/store';

const LIVE_PREFIX = '/chicoryspring/live/';
const ENTRIES_PREFIX = `${LIVE_PREFIX}entries/`;
const RETRY_MILLISECONDS = 250;
/** Time between two confirmations of the newest revision. */
const CONFIRM_MILLISECONDS = 400;
/** Time for which one confirmation lets work start. */
const FRESH_MILLISECONDS = 1_500;

/**
 * What the store says now: the entries, the owners and the configuration.
 *
 * One watch follows all of it. Because a watch can die silently, the newest
 * revision is also read at short intervals; only such a read, counted from
 * before it was sent, lets work start.
 */
export class LiveState {
  readonly configuration = new ConfigurationStore();
  private readonly members = new Map<string, EntryMember>();
  private readonly owners = new Map<number, string>();
  private readonly reader: ConfigurationReader;
  private freshDeadline = 0;

  constructor(
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly onConfiguration: () => void,
    private readonly onFleet: () => void,
  ) {
    this.reader = new ConfigurationReader(store);
  }

  static entryKey(name: string): string {
    return `${ENTRIES_PREFIX}${name}`;
  }

  get entries(): readonly EntryMember[] {
    return [...this.members.values()];
  }

  get fleet(): FleetView {
    return {entries: [...this.members.keys()], owners: this.owners};
  }

  ownerOf(shard: number): string | undefined {
    return this.owners.get(shard);
  }

  /** Time for which work may start on this state; 0 when it may be stale. */
  get freshMilliseconds(): number {
    return Math.max(0, this.freshDeadline - this.clock.now());
  }

  /** The task that follows the store. */
  async run(signal: AbortSignal): Promise<void> {
    void this.confirm(signal);
    while (!signal.aborted) {
      try {
        const revision = await this.readAll();
        const changes = this.store.watch(LIVE_PREFIX, revision + 1, signal);
        for await (const change of changes) await this.applyAll(change);
      } catch {
        // The store is away; what is known stays in force.
      }
      await this.pause(RETRY_MILLISECONDS, signal);
    }
  }

  /** Takes in the newest configuration of the store. */
  async refreshConfiguration(): Promise<void> {
    const newest = await this.reader.read();
    if (this.configuration.adopt(newest)) this.onConfiguration();
  }

  private async readAll(): Promise<number> {
    const range = await this.store.readPrefix(LIVE_PREFIX);
    this.members.clear();
    this.owners.clear();
    for (const {key, value} of range.values) this.apply(key, value);
    await this.refreshConfiguration();
    this.onFleet();
    return range.revision;
  }

  private async applyAll(changes: readonly StoreChange[]): Promise<void> {
    for (const {key, value} of changes) this.apply(key, value);
    const head = ConfigurationPublisher.headKey;
    if (changes.some(one => one.key === head))
      await this.refreshConfiguration();
    if (changes.some(one => one.key !== head)) this.onFleet();
  }

  private apply(key: string, value: string | undefined): void {
    if (key.startsWith(ShardKeys.owners)) {
      const shard = Number(key.slice(ShardKeys.owners.length));
      if (value === undefined) this.owners.delete(shard);
      else this.owners.set(shard, value);
    }
    if (key.startsWith(ENTRIES_PREFIX)) {
      const name = key.slice(ENTRIES_PREFIX.length);
      if (value === undefined) this.members.delete(name);
      else this.members.set(name, parseMember(value));
    }
  }

  /** The task that confirms the newest revision. */
  private async confirm(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const sent = this.clock.now();
      try {
        await this.confirmOnce();
        this.freshDeadline = sent + FRESH_MILLISECONDS;
      } catch {
        // Without a confirmation the permission to start runs out.
      }
      await this.pause(CONFIRM_MILLISECONDS, signal);
    }
  }

  private async confirmOnce(): Promise<void> {
    const head = ConfigurationPublisher.headKey;
    const found = (await this.store.readPrefix(head)).values[0];
    const newest = found?.revision ?? 0;
    const isBehind = newest > this.configuration.current.revision;
    if (isBehind) await this.refreshConfiguration();
  }

  private async pause(
    milliseconds: number,
    signal: AbortSignal,
  ): Promise<void> {
    await this.clock.sleepUntil(this.clock.now() + milliseconds, signal);
  }
}

function parseMember(value: string): EntryMember {
  return v.parse(entryMemberSchema, JSON.parse(value));
}
