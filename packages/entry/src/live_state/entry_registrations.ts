import {
  decodeJson,
  entryMemberSchema,
  type EntryMember,
} from '@chicoryspring/contracts';
import {UnreadableValueLog, type StateLog} from '@chicoryspring/observability';
import {ENTRIES_PREFIX} from './live_keys.js';

const MAX_REGISTRATION_CHARACTERS = 10_000;

/** Decodes the values under which entries are registered. */
export class EntryRegistrations {
  private readonly unreadable: UnreadableValueLog;

  constructor(log: StateLog) {
    this.unreadable = new UnreadableValueLog(log);
  }

  /** The entry that a value registers; undefined, and logged, without one. */
  decode(key: string, value: string): EntryMember | undefined {
    const decoded = decodeJson(
      entryMemberSchema,
      value,
      MAX_REGISTRATION_CHARACTERS,
    );
    if (!decoded.isReadable) {
      this.unreadable.record(key, value, decoded.reason);
      return undefined;
    }
    if (`${ENTRIES_PREFIX}${decoded.value.name}` !== key) {
      this.unreadable.record(key, value, 'the name differs from the key');
      return undefined;
    }
    this.unreadable.clear(key);
    return decoded.value;
  }

  /** Records that nothing is registered under a key any more. */
  clear(key: string): void {
    this.unreadable.clear(key);
  }
}
