import {ChicoryspringError} from '@chicoryspring/contracts';
import type {OwnedShard} from '../shard/owned_shard.js';

/** Keeps a transaction with the record below the store's size limit. */
const MAX_RECORD_BYTES = 200_000;
/**
 * Size at which a shard accepts no new records. The rest, up to the store's
 * limit of one megabyte, is reserved for changes of existing records.
 */
const MAX_SHARD_BYTES_FOR_NEW_RECORDS = 700_000;

/** Throws for a record that is too large and for a new one in a full shard. */
export function requireCapacity(
  owned: OwnedShard,
  bytes: number,
  isNew: boolean,
): void {
  if (bytes > MAX_RECORD_BYTES) {
    const message = `the record exceeds ${MAX_RECORD_BYTES} bytes`;
    throw new ChicoryspringError('body-too-large', message);
  }
  if (isNew && owned.bytes + bytes > MAX_SHARD_BYTES_FOR_NEW_RECORDS) {
    const message = `shard ${owned.shard} is full`;
    throw new ChicoryspringError('overloaded', message);
  }
}
