import {createHash} from 'node:crypto';

/** Hash functions for the shard of a key and the preferred owner of a shard. */
export class ShardHash {
  /** The shard of a key. */
  static forKey(key: string, shardCount: number): number {
    return hash(key) % shardCount;
  }

  /**
   * The entry that should own the shard, by rendezvous hashing: when an entry
   * joins or leaves, only the shards of this entry move.
   */
  static preferredOwner(
    shard: number,
    entries: readonly string[],
  ): string | undefined {
    let best: string | undefined;
    let bestWeight = -1;
    for (const entry of entries) {
      const weight = hash(`${shard}/${entry}`);
      if (weight <= bestWeight) continue;
      best = entry;
      bestWeight = weight;
    }
    return best;
  }
}

function hash(text: string): number {
  return createHash('sha256').update(text).digest().readUInt32BE(0);
}
