/** What the store says about the entries and the owners of shards. */
export interface OwnershipView {
  /** Names of the live entries. */
  readonly entries: readonly string[];
  /** Name of the owner of each owned shard. */
  readonly owners: ReadonlyMap<number, string>;
}
