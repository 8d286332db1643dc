import * as v from 'valibot';
import {entryMemberSchema, type EntryMember} from '@chicoryspring/contracts';
import type {Store} from '@chicoryspring/store';
import {ENTRIES_PREFIX} from './live_keys.js';

/** Reads the registered entries for a process without a link to an entry. */
export class EntryListReader {
  constructor(private readonly store: Store) {}

  /** Returns the entries by a stale read; the list may be seconds old. */
  async read(): Promise<readonly EntryMember[]> {
    const {values} = await this.store.readPrefix(ENTRIES_PREFIX, true);
    return values.map(one => v.parse(entryMemberSchema, JSON.parse(one.value)));
  }
}
