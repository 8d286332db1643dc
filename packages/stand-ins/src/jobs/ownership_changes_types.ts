import type {OwnerFixture} from './owner_fixture.js';

/** How the shards change their owners in a soak. */
export interface OwnershipChanges {
  /** The entry that owns the shard of a job, or will own it. */
  ownerOf(job: string): OwnerFixture;
  /** Perhaps changes an owner; to be called in each step with trouble. */
  maybeChange(): void;
  /** Ends the trouble: one entry will own every shard. */
  recover(): void;
}
