import type {Clock} from '@chicoryspring/contracts';
import {LeaseTakeovers} from './lease_takeovers.js';
import type {OwnerFixture} from './owner_fixture.js';
import type {OwnershipChanges} from './ownership_changes_types.js';
import type {RivalEntry} from './rival_entry_types.js';

const MAX_DELAY_MILLISECONDS = 1_500;
const MAX_CUT_MILLISECONDS = 7_000;
const FAULTS = ['cut', 'agent-unheard', 'owner-unheard', 'reset'] as const;

/** Takeovers after which the previous owner loses its agents as well. */
export class SeveredTakeovers implements OwnershipChanges {
  private readonly takeovers: LeaseTakeovers;

  constructor(
    private readonly entries: readonly RivalEntry[],
    private readonly clock: Clock,
    private readonly random: () => number,
  ) {
    const owners = entries.map(({owner}) => owner);
    this.takeovers = new LeaseTakeovers(owners, clock, random, false);
  }

  ownerOf(): OwnerFixture {
    return this.takeovers.ownerOf();
  }

  maybeChange(): void {
    const previous = this.ownerOf();
    this.takeovers.maybeChange();
    if (this.ownerOf() !== previous) void this.sever(previous);
  }

  recover(): void {
    this.takeovers.recover();
  }

  /** Cuts all agents off from an entry, in the same way. */
  private async sever(owner: OwnerFixture): Promise<void> {
    const {clock, random} = this;
    const start = clock.now() + MAX_DELAY_MILLISECONDS * random();
    const deadline = start + MAX_CUT_MILLISECONDS * random();
    const fault = FAULTS[Math.floor(FAULTS.length * random())]!;
    const entry = this.entries.find(one => one.owner === owner)!;
    await clock.sleepUntil(start);
    for (const link of entry.links) void link.harm(fault, deadline, 0);
  }
}
