/**
 * A span of time in which an owner of shards had no proof in a grace period that no
 * other entry owns them.
 *
 * In a grace period it needs the denial of each entry that it knows. An entry blocks
 * it while the owner certainly knows that entry, which denies nothing.
 */
export interface GraceBlock {
  /** Local instant from which on there was none. */
  readonly since: number;
  /** Local instant up to which there was none. */
  readonly until: number;
}
