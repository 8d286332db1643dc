import type {Clock} from '@chicoryspring/contracts';
import type {OwnerFixture} from './owner_fixture.js';
import type {OwnershipChanges} from './ownership_changes_types.js';

const RETRY_MILLISECONDS = 300;
const MAX_NOTICE_MILLISECONDS = 4_000;
/** Probability for each step. */
const TAKEOVER_PROBABILITY = 0.006;

/** One entry owns every shard, until its lease ends and another acquires them. */
export class LeaseTakeovers implements OwnershipChanges {
  private current: OwnerFixture;
  /** Counts the takeovers; an entry acquires shards in one loop at a time. */
  private takeovers = 0;

  constructor(
    private readonly owners: readonly OwnerFixture[],
    private readonly clock: Clock,
    private readonly random: () => number,
    /** Whether an entry counts its lease as held after it has lapsed. */
    private readonly overestimatesLease: boolean,
  ) {
    this.current = owners[0]!;
  }

  ownerOf(): OwnerFixture {
    return this.current;
  }

  maybeChange(): void {
    const {random, owners} = this;
    if (random() >= TAKEOVER_PROBABILITY) return;
    void this.takeOver(owners[Math.floor(random() * owners.length)]!);
  }

  recover(): void {
    void this.takeOver(this.owners[0]!);
  }

  private async takeOver(owner: OwnerFixture): Promise<void> {
    const {clock, current: previous} = this;
    this.takeovers += 1;
    const takeover = this.takeovers;
    const noticeAt = clock.now() + MAX_NOTICE_MILLISECONDS * this.random();
    if (!this.overestimatesLease) previous.loseLease();
    previous.lapseUnnoticed();
    this.current = owner;
    await owner.registerAgain();
    void this.noticeLater(previous, noticeAt);
    if (this.current !== owner) owner.lapseUnnoticed();
    while (this.takeovers === takeover) {
      // The next round acquires what this one could not.
      await owner.acquire().catch(() => undefined);
      await clock.sleepUntil(clock.now() + RETRY_MILLISECONDS);
    }
  }

  private async noticeLater(
    owner: OwnerFixture,
    noticeAt: number,
  ): Promise<void> {
    await this.clock.sleepUntil(noticeAt);
    if (this.current !== owner) owner.noticeLoss();
  }
}
