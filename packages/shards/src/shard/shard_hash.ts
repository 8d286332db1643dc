import {createHash} from 'node:crypto';
import {rendezvousOrder} from './rendezvous_order.js';

const MAX_KNOWN_HASHES = 4_096;

const knownHashes = new Map<string, number>();

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
    return rendezvousOrder(String(shard), entries)[0];
  }
}

/** The hash of a text; a process asks for those of the same few jobs all the time. */
function hash(text: string): number {
  const known = knownHashes.get(text);
  if (known !== undefined) return known;
  const found = createHash('sha256').update(text).digest().readUInt32BE(0);
  if (knownHashes.size >= MAX_KNOWN_HASHES) knownHashes.clear();
  knownHashes.set(text, found);
  return found;
}
