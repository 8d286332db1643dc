/** Live entries and shard owners, as last read from the store. */
export interface OwnershipView {
  /** Names of the live entries. */
  readonly entries: readonly string[];
  /** Name of the owner of each owned shard. */
  readonly owners: ReadonlyMap<number, string>;
}
