/** How long the earlier owners of a shard may go on renewing. */
export interface EarlierOwnerBounds {
  /**
   * Local instant after which none of the named earlier owners of a shard had a proof
   * that no other entry owns it; the other instant is that of the gain of the shard.
   */
  latestProofOf(owners: readonly string[], gainedAt: number): number;
  /** Those of the named owners that may not know this entry, and so don't ask it. */
  unawareOf(owners: readonly string[], gainedAt: number): readonly string[];
}
