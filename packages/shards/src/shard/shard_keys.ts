/** Prefix of every key, and the digits that make numbers sort as text. */
const ROOT = '/chicoryspring';
const SEQUENCE_DIGITS = 12;
const SHARD_DIGITS = 4;
const SHARD_PATTERN = /^\d{4}$/;

/** Store keys of shards. */
export class ShardKeys {
  static readonly owners = `${ROOT}/live/owners/`;

  static owner(shard: number): string {
    return `${ShardKeys.owners}${String(shard).padStart(SHARD_DIGITS, '0')}`;
  }

  /** Shard of an owner key; undefined for a key that names no shard. */
  static shardOfOwner(key: string): number | undefined {
    const digits = key.slice(ShardKeys.owners.length);
    return SHARD_PATTERN.test(digits) ? Number(digits) : undefined;
  }

  /** Key of the agents that may have runs of a shard. */
  static agents(shard: number): string {
    return `${ROOT}/agents/${String(shard).padStart(SHARD_DIGITS, '0')}`;
  }

  /** Prefix of the snapshot and the journal of a shard. */
  static data(shard: number): string {
    return `${ROOT}/shards/${shard}/`;
  }

  static snapshot(shard: number): string {
    return `${ShardKeys.data(shard)}snapshot`;
  }

  static journalPrefix(shard: number): string {
    return `${ShardKeys.data(shard)}journal/`;
  }

  static journal(shard: number, sequence: number): string {
    const digits = String(sequence).padStart(SEQUENCE_DIGITS, '0');
    return `${ShardKeys.journalPrefix(shard)}${digits}`;
  }
}
