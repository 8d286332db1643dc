/** Live entries and shard owners, as last read from the store. */
export interface OwnershipView {
  /** Names of the live entries. */
  readonly entries: readonly string[];
  /** Those of the live entries that may own shards; empty without entries. */
  readonly candidates: readonly string[];
  /** Name of the owner of each owned shard. */
  readonly owners: ReadonlyMap<number, string>;
}
