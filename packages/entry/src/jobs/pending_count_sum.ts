import {ChicoryspringError} from '@chicoryspring/contracts';

/** What one entry counts of the pending jobs of a queue. */
interface PendingCount {
  readonly pending: number;
  /** Shards that the count covers; all if absent, from an earlier release. */
  readonly shards?: readonly number[] | undefined;
}

/**
 * Adds the counts of entries; throws `shard-unowned` if they don't cover every
 * shard, as while one changes its owner: the sum would lack its jobs.
 */
export function sumPendingCounts(
  counts: readonly PendingCount[],
  shardCount: number,
): number {
  const coversAll = counts.some(({shards}) => shards === undefined);
  const covered = new Set(counts.flatMap(({shards = []}) => shards));
  if (!coversAll && covered.size < shardCount) {
    const message = `${covered.size} of ${shardCount} shards are counted`;
    throw new ChicoryspringError('shard-unowned', message);
  }
  return counts.reduce((sum, {pending}) => sum + pending, 0);
}
