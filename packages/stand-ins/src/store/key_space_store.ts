import type {StoreEvent} from './store_event_types.js';
import type {StoredValue} from './stored_value_types.js';

/** The keys of the store stand-in, with their revisions and events. */
export class KeySpaceStore {
  private readonly values = new Map<string, StoredValue>();
  private readonly events: StoreEvent[] = [];
  private readonly listeners = new Set<
    (events: readonly StoreEvent[]) => void
  >();
  revision = 1;

  /** Values of the decoded keys from `from` up to, not including, `end`. */
  range(from: string, end: string | undefined): readonly StoredValue[] {
    const found = [...this.values.values()].filter(({key}) =>
      isWithin(key, from, end),
    );
    return found.sort((left, right) => (left.key < right.key ? -1 : 1));
  }

  modRevision(key: string): number {
    return this.values.get(key)?.revision ?? 0;
  }

  /** Applies writes under one revision. */
  apply(
    write: (change: {
      put(key: string, value: string, lease: string): void;
      remove(from: string, end: string | undefined): void;
    }) => void,
  ): void {
    const revision = this.revision + 1;
    const events: StoreEvent[] = [];
    write({
      put: (key, value, lease) => {
        this.values.set(key, {key, value, revision, lease});
        events.push({type: 'PUT', key, value, revision});
      },
      remove: (from, end) => {
        for (const {key} of this.range(from, end)) {
          this.values.delete(key);
          events.push({type: 'DELETE', key, value: '', revision});
        }
      },
    });
    if (events.length === 0) return;
    this.revision = revision;
    this.events.push(...events);
    for (const listener of this.listeners) listener(events);
  }

  /** Drops every value that a lease holds. */
  dropLease(lease: string): void {
    const held = [...this.values.values()].filter(one => one.lease === lease);
    this.apply(change => {
      for (const {key} of held) change.remove(key, undefined);
    });
  }

  eventsSince(revision: number): readonly StoreEvent[] {
    return this.events.filter(event => event.revision >= revision);
  }

  /** Calls the listener with each change until the result is called. */
  listen(listener: (events: readonly StoreEvent[]) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }
}

function isWithin(key: string, from: string, end: string | undefined): boolean {
  if (end === undefined || end === '') return key === from;
  return key >= from && key < end;
}
