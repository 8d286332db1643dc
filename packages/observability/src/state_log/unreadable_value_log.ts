import {createHash} from 'node:crypto';
import type {StateLog} from './state_log_types.js';

/** Keys whose last logged value is remembered. */
const MAX_KEYS = 1_000;
const EVENT = 'value unreadable';

/** Logs each stored value that can't be read once, not at each read of it. */
export class UnreadableValueLog {
  /** Hashes of the values that were logged last, by key. */
  private readonly logged = new Map<string, string>();

  constructor(private readonly log: StateLog) {}

  /** Records that a value can't be read. */
  record(key: string, value: string, reason: string): void {
    const hash = createHash('sha256').update(value).digest('base64');
    if (this.logged.get(key) === hash) return;
    const [oldest] = this.logged.keys();
    if (oldest !== undefined && this.logged.size >= MAX_KEYS)
      this.logged.delete(oldest);
    this.logged.set(key, hash);
    this.log.change(EVENT, {key, reason, characters: value.length});
  }

  /** Records that the value of a key is readable or gone. */
  clear(key: string): void {
    this.logged.delete(key);
  }
}
