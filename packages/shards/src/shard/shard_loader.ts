import type {Store} from '@chicoryspring/store';
import {JournalEntryCodec} from '../commit/journal_entry_codec.js';
import type {ShardRecord} from '../record/shard_record_types.js';
import {OwnedShardStore} from './owned_shard_store.js';
import {ShardKeys} from './shard_keys.js';

/** Reads the snapshot of a shard and replays its journal. */
export async function loadShard(
  store: Store,
  shard: number,
  ownerRevision: number,
): Promise<OwnedShardStore> {
  const range = await store.readPrefix(ShardKeys.data(shard));
  const snapshotKey = ShardKeys.snapshot(shard);
  const snapshot = range.values.find(value => value.key === snapshotKey);
  const entries = range.values
    .map(value => JournalEntryCodec.decode(value.value))
    .sort((left, right) => left.sequence - right.sequence);
  const records = new Map<string, ShardRecord>();
  for (const entry of entries) {
    for (const record of entry.records) records.set(record.key, record);
    for (const key of entry.dropped) records.delete(key);
  }
  const position = {
    ownerRevision,
    snapshotRevision: snapshot?.revision ?? 0,
    nextSequence: (entries.at(-1)?.sequence ?? 0) + 1,
    journalLength: entries.length - (snapshot ? 1 : 0),
  };
  return new OwnedShardStore(shard, position, [...records.values()]);
}
