import type {GraceBlock} from '../grace_blocks/grace_block_types.js';
import {RUN_LEASE_BOUNDS} from '../jobs/run_lease_bounds.js';
import type {EarlierOwnerBounds} from './earlier_owner_bounds_types.js';
import type {EntryRegistration} from './entry_registration_types.js';
import {KNOWN_TO_ALL_MILLISECONDS} from './known_to_all_milliseconds.js';
import {LONGEST_RENEWAL_MILLISECONDS} from './longest_renewal_milliseconds.js';

interface EarlierOwnersParts {
  readonly entryName: string;
  /** The registration of this entry; undefined while there is none. */
  readonly registration: () => EntryRegistration | undefined;
  /**
   * Local instant since which the named entry certainly knows a registration of
   * this one; undefined if it may not know it.
   */
  readonly introducedAt: (
    entry: string,
    registration: string,
  ) => number | undefined;
  /**
   * Spans in which the named entry certainly had no proof in a grace period, each
   * since another entry blocked it.
   */
  readonly graceBlocksOf: (entry: string) => readonly GraceBlock[];
}

/** The last proof of an earlier owner, as far as it is certain. */
interface ProofBound {
  /** Local instant of the last proof, or a later one. */
  readonly latestProof: number;
  /** Local instant until which it had no later one. */
  readonly certainUntil: number;
}

/**
 * How long earlier owners of a shard may go on renewing.
 *
 * The invariant that `OutageGracePeriod` and the new owner of a shard share: an
 * earlier owner renews nothing after the instant that `latestProofOf` returns, but
 * for the permissions that count from a proof before it.
 *
 * Without a lease an entry renews only while every other entry that it knows denies
 * contact with the store, and none of them owns a shard of its own under a later
 * epoch. So one that knows this entry has no proof after this entry's gain. One that
 * may not know it has none while it knows a third entry, which doesn't deny contact.
 * Once that has been so for as long as a run goes on without a proof, every run has
 * ended, and a later proof renews nothing. Any other one has proofs for a whole grace
 * period.
 */
export class EarlierOwners implements EarlierOwnerBounds {
  constructor(private readonly parts: EarlierOwnersParts) {}

  /**
   * Local instant after which none of the named earlier owners of a shard has had a
   * proof that no other entry owns it, if this entry gained it at an instant. An
   * owner of unknown name counts as one that doesn't know this entry.
   */
  latestProofOf(owners: readonly string[], gainedAt: number): number {
    const names = owners.length === 0 ? [undefined] : owners;
    const bounds = names.map(one => this.boundOf(one, gainedAt));
    const latest = Math.max(...bounds.map(one => one.latestProof));
    const runsEndAt = latest + RUN_LEASE_BOUNDS.runMilliseconds;
    const isCertain = bounds.every(one => one.certainUntil >= runsEndAt);
    return isCertain ? latest : gainedAt + LONGEST_RENEWAL_MILLISECONDS;
  }

  unawareOf(owners: readonly string[], gainedAt: number): readonly string[] {
    return owners.filter(one => this.knownProof(one, gainedAt) === undefined);
  }

  private boundOf(owner: string | undefined, gainedAt: number): ProofBound {
    const known = this.knownProof(owner, gainedAt);
    if (known !== undefined)
      return {latestProof: known, certainUntil: Infinity};
    const longest = gainedAt + LONGEST_RENEWAL_MILLISECONDS;
    const unblocked = {latestProof: longest, certainUntil: Infinity};
    return this.blockedBound(owner, gainedAt) ?? unblocked;
  }

  /** The bound by the entry that has blocked an owner for the longest after a gain. */
  private blockedBound(
    owner: string | undefined,
    gainedAt: number,
  ): ProofBound | undefined {
    const blocks = owner === undefined ? [] : this.parts.graceBlocksOf(owner);
    const bounds = blocks.map(({since, until}) => ({
      latestProof: Math.max(gainedAt, since),
      certainUntil: until,
    }));
    const [widest] = bounds.sort((one, other) => spanOf(other) - spanOf(one));
    return widest;
  }

  /** The last proof of an owner that certainly knows this entry, or has ended. */
  private knownProof(
    owner: string | undefined,
    gainedAt: number,
  ): number | undefined {
    const {entryName, registration} = this.parts;
    // Two processes can't listen at one address: the earlier one has ended.
    if (owner === entryName) return gainedAt;
    const {id, registeredAt = Infinity} = registration() ?? {};
    // Any owner in its grace period has read the registration.
    if (gainedAt - registeredAt >= KNOWN_TO_ALL_MILLISECONDS) return gainedAt;
    const introducedAt = this.introducedAt(owner, id);
    if (introducedAt === undefined) return undefined;
    return Math.max(gainedAt, introducedAt);
  }

  private introducedAt(owner?: string, id?: string): number | undefined {
    if (owner === undefined || id === undefined) return undefined;
    return this.parts.introducedAt(owner, id);
  }
}

/** Time after the last proof for which there is certainly no other one. */
function spanOf({latestProof, certainUntil}: ProofBound): number {
  return certainUntil - latestProof;
}
