import type {EntryMember} from '@chicoryspring/contracts';
import {UnreadableValueLog, type StateLog} from '@chicoryspring/observability';
import {ShardKeys} from '@chicoryspring/shards';
import type {StoreValue} from '@chicoryspring/store';
import {EntryRegistrations} from './entry_registrations.js';
import {ENTRIES_PREFIX} from './live_keys.js';

/**
 * The entries and the shard owners that the store's values name.
 *
 * A value that can't be read names none; the others stay in use.
 */
export class FleetValues {
  private readonly entries = new Map<string, EntryMember>();
  private readonly shardOwners = new Map<number, string>();
  /** Values of the keys below the prefix, by key. */
  private readonly values = new Map<string, string>();
  private readonly registrations: EntryRegistrations;
  private readonly unreadable: UnreadableValueLog;

  constructor(log: StateLog) {
    this.registrations = new EntryRegistrations(log);
    this.unreadable = new UnreadableValueLog(log);
  }

  /** The registered entries by name. */
  get members(): ReadonlyMap<string, EntryMember> {
    return this.entries;
  }

  /** Names of the owners of shards by shard. */
  get owners(): ReadonlyMap<number, string> {
    return this.shardOwners;
  }

  /** Whether an entry's key has a value that does not register it. */
  isUnreadable(key: string): boolean {
    const name = key.slice(ENTRIES_PREFIX.length);
    return this.values.has(key) && !this.entries.has(name);
  }

  /** Replaces all values; returns whether that changed anything. */
  replaceAll(values: readonly StoreValue[]): boolean {
    const isSame =
      values.length === this.values.size &&
      values.every(one => this.values.get(one.key) === one.value);
    if (isSame) return false;
    const keys = new Set(values.map(one => one.key));
    const gone = [...this.values.keys()].filter(key => !keys.has(key));
    for (const key of gone) this.set(key, undefined);
    // The maps are in the order of the store, whatever the watch reported.
    this.entries.clear();
    this.shardOwners.clear();
    for (const {key, value} of values) this.set(key, value);
    return true;
  }

  /** Replaces one value, or removes it when none is given. */
  set(key: string, value: string | undefined): void {
    if (value === undefined) this.values.delete(key);
    else this.values.set(key, value);
    if (key.startsWith(ShardKeys.owners)) this.setOwner(key, value);
    if (key.startsWith(ENTRIES_PREFIX)) this.setEntry(key, value);
  }

  private setOwner(key: string, value: string | undefined): void {
    const shard = ShardKeys.shardOfOwner(key);
    if (shard === undefined) {
      if (value === undefined) this.unreadable.clear(key);
      else this.unreadable.record(key, value, 'the key names no shard');
    } else if (value === undefined) this.shardOwners.delete(shard);
    else this.shardOwners.set(shard, value);
  }

  private setEntry(key: string, value: string | undefined): void {
    if (value === undefined) this.registrations.clear(key);
    const member =
      value === undefined ? undefined : this.registrations.decode(key, value);
    const name = key.slice(ENTRIES_PREFIX.length);
    if (member) this.entries.set(name, member);
    else this.entries.delete(name);
  }
}
