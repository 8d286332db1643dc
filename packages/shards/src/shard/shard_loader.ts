import {
  ChicoryspringError,
  requireReadable,
  TurnBudget,
} from '@chicoryspring/contracts';
import type {Store, StoreValue} from '@chicoryspring/store';
import {JournalEntryCodec} from '../commit/journal_entry_codec.js';
import type {JournalEntry} from '../commit/journal_entry_types.js';
import {JournalRecordDifference} from '../record/journal_record_difference.js';
import type {ShardRecord} from '../record/shard_record_types.js';
import {OwnedShard} from './owned_shard.js';
import {ShardKeys} from './shard_keys.js';

/** Length of the values that all loads decode in one turn, in characters. */
const MAX_TURN_LENGTH = 100_000;

const turnBudget = new TurnBudget(MAX_TURN_LENGTH);

interface DecodedValue {
  readonly entry: JournalEntry;
  /** Encoded size, in bytes. */
  readonly bytes: number;
}

/**
 * Loads a shard: reads its snapshot and replays its journal.
 *
 * Throws `record-unreadable` if a part can't be read: without it the shard would
 * lack records, so it must not be owned.
 */
export async function loadShard(
  store: Store,
  shard: number,
  ownerRevision: number,
): Promise<OwnedShard> {
  const range = await store.readPrefix(ShardKeys.data(shard));
  const snapshotKey = ShardKeys.snapshot(shard);
  const snapshot = range.values.find(value => value.key === snapshotKey);
  const [base] = (await decodeAll(snapshot ? [snapshot] : [])).map(
    one => one.entry,
  );
  const stored = range.values.filter(value => value !== snapshot);
  const decoded = await decodeAll(stored);
  const journal = decoded.toSorted(
    (left, right) => left.entry.sequence - right.entry.sequence,
  );
  // Old journal entries are deleted a few at a time, so some that the snapshot
  // already contains may still be stored.
  const covered = base?.sequence ?? 0;
  const newer = journal.filter(({entry}) => entry.sequence > covered);
  const entries = newer.map(({entry}) => entry);
  const records = new Map<string, ShardRecord>();
  for (const entry of base ? [base, ...entries] : entries) {
    for (const change of entry.records) {
      const record = JournalRecordDifference.apply(
        records.get(change.key),
        change,
      );
      if (!record) throw unreadableError(snapshotKey, change.key);
      records.set(change.key, record);
    }
    for (const key of entry.dropped) records.delete(key);
  }
  const position = {
    ownerRevision,
    snapshotRevision: snapshot?.revision ?? 0,
    nextSequence: (entries.at(-1)?.sequence ?? covered) + 1,
    journalLength: newer.length,
    journalBytes: newer.reduce((sum, one) => sum + one.bytes, 0),
    oldestSequence: journal[0]?.entry.sequence ?? covered + 1,
  };
  return new OwnedShard(shard, position, [...records.values()]);
}

/** Decodes values, a bounded part in each turn of the event loop. */
async function decodeAll(
  values: readonly StoreValue[],
): Promise<readonly DecodedValue[]> {
  const decoded: DecodedValue[] = [];
  for (const value of values) {
    if (turnBudget.isSpent) await turnBudget.waitForRoom();
    turnBudget.spend(value.value.length);
    decoded.push(decode(value));
  }
  return decoded;
}

function decode({key, value}: StoreValue): DecodedValue {
  const entry = requireReadable(key, JournalEntryCodec.decode(value));
  return {entry, bytes: Buffer.byteLength(value)};
}

function unreadableError(snapshotKey: string, key: string): ChicoryspringError {
  const message = `${snapshotKey}: no record ${key} for a change in the journal`;
  return new ChicoryspringError('record-unreadable', message);
}
