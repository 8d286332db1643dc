import {ChicoryspringError} from '@chicoryspring/contracts';
import type {OwnedShard} from '../shard/owned_shard.js';

/** Keeps a transaction with the record below the store's size limit. */
const RECORD_LIMIT_BYTES = 200_000;
/**
 * Size at which a shard accepts no new records. The rest, up to the store's
 * limit of one megabyte, is reserved for changes of existing records.
 */
const SHARD_LIMIT_BYTES = 700_000;

/** Throws for a record that is too large and for a new one in a full shard. */
export function requireRoom(
  owned: OwnedShard,
  bytes: number,
  isNew: boolean,
): void {
  if (bytes > RECORD_LIMIT_BYTES) {
    const message = `the record exceeds ${RECORD_LIMIT_BYTES} bytes`;
    throw new ChicoryspringError('body-too-large', message);
  }
  if (isNew && owned.bytes + bytes > SHARD_LIMIT_BYTES) {
    const message = `shard ${owned.shard} is full`;
    throw new ChicoryspringError('overloaded', message);
  }
}
