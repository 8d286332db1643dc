import {ChicoryspringError} from '@chicoryspring/contracts';
import type {OwnedShard} from '../shard/owned_shard.js';

/** Largest record, so that a write of the store stays below its limit. */
const RECORD_LIMIT_BYTES = 200_000;
/**
 * Size of a shard from which it takes no new records. The rest up to the
 * megabyte of the store is left to changes of the records that it has.
 */
const SHARD_LIMIT_BYTES = 700_000;

/** Refuses a record that is too large, and a new one in a full shard. */
export function requireRoom(
  owned: OwnedShard,
  bytes: number,
  isNew: boolean,
): void {
  if (bytes > RECORD_LIMIT_BYTES) {
    const message = `a record has at most ${RECORD_LIMIT_BYTES} bytes`;
    throw new ChicoryspringError('body-too-large', message);
  }
  if (isNew && owned.bytes + bytes > SHARD_LIMIT_BYTES) {
    const message = `shard ${owned.shard} is full`;
    throw new ChicoryspringError('overloaded', message);
  }
}
