import type {StoreContact} from '../entries/store_contact.js';
import type {EntryIntroductions} from '../entries/entry_introductions.js';
import type {LiveState} from '../live_state/live_state.js';
import type {EntryRegistration} from '../membership/entry_registration_types.js';
import {KNOWN_TO_ALL_MILLISECONDS} from '../membership/known_to_all_milliseconds.js';
import type {GraceBlock} from './grace_block_types.js';

interface OwnGraceBlocksParts {
  readonly entryName: string;
  /** The registration of this entry; undefined while there is none. */
  readonly registration: () => EntryRegistration | undefined;
  readonly introductions: Pick<EntryIntroductions, 'introducedAt'>;
  readonly live: Pick<LiveState, 'entries' | 'confirmedAt'>;
  readonly storeContact: Pick<StoreContact, 'lastDenialAt'>;
}

/**
 * The grace periods that this entry blocks.
 *
 * An owner knows it from its introduction on, and as long as the store has the
 * registration. This entry is certain of that up to its last read only: from then on
 * the owner may have read that the registration is gone.
 */
export class OwnGraceBlocks {
  constructor(private readonly parts: OwnGraceBlocksParts) {}

  /** The latest block of a named owner; undefined if there is none for certain. */
  blockOf(owner: string): GraceBlock | undefined {
    const {entryName, live, storeContact} = this.parts;
    const registration = this.readRegistration();
    const until = live.confirmedAt;
    // No owner asks itself.
    if (owner === entryName || !registration || until === undefined)
      return undefined;
    const knownSince = this.knownSince(owner, registration);
    const since = Math.max(knownSince, storeContact.lastDenialAt);
    return since < until ? {since, until} : undefined;
  }

  /** The registration of this entry, if its last read of the store has found it. */
  private readRegistration(): EntryRegistration | undefined {
    const {entryName, registration, live} = this.parts;
    const current = registration();
    const read = live.entries.find(one => one.name === entryName);
    return read?.registration === current?.id ? current : undefined;
  }

  /** Local instant since which an owner knows the registration; may be in the future. */
  private knownSince(
    owner: string,
    {id, registeredAt}: EntryRegistration,
  ): number {
    const introducedAt = this.parts.introductions.introducedAt(owner, id);
    const knownToAllAt = registeredAt + KNOWN_TO_ALL_MILLISECONDS;
    return Math.min(introducedAt ?? Infinity, knownToAllAt);
  }
}
