import {ShardHash} from '../shard/shard_hash.js';
import type {OwnershipView} from './ownership_view_types.js';
import type {ShardTableOptions} from './shard_table_options_types.js';

type OwnershipOptions = Pick<
  ShardTableOptions,
  'shardCount' | 'ownerGroupCount' | 'isOwnerKept'
>;

/**
 * The entry that should own a shard and the others of its group.
 *
 * Undefined if there is no candidate. If live owners keep their shards, it is
 * the owner of any shard of the group, as long as it is a candidate.
 */
export function preferredShardOwner(
  shard: number,
  {candidates, owners}: OwnershipView,
  {ownerGroupCount, shardCount, isOwnerKept}: OwnershipOptions,
): string | undefined {
  const groups = ownerGroupCount ?? shardCount;
  const group = shard % groups;
  const preferred = ShardHash.preferredOwner(group, candidates);
  if (!isOwnerKept) return preferred;
  const current = [...owners].find(
    ([other, owner]) =>
      other < shardCount &&
      other % groups === group &&
      candidates.includes(owner),
  );
  return current?.[1] ?? preferred;
}
