import type {EntryMember} from '@chicoryspring/contracts';
import type {StateLog} from '@chicoryspring/observability';
import type {Store} from '@chicoryspring/store';
import {EntryRegistrations} from './entry_registrations.js';
import {ENTRIES_PREFIX} from './live_keys.js';

/** Reads the registered entries for a process without a link to an entry. */
export class EntryListReader {
  private readonly registrations: EntryRegistrations;

  constructor(
    private readonly store: Store,
    log: StateLog,
  ) {
    this.registrations = new EntryRegistrations(log);
  }

  /** Returns the entries by a stale read; the list may be seconds old. */
  async read(): Promise<readonly EntryMember[]> {
    const {values} = await this.store.readPrefix(ENTRIES_PREFIX, true);
    return values.flatMap(
      ({key, value}) => this.registrations.decode(key, value) ?? [],
    );
  }
}
