import type {Clock} from '@chicoryspring/contracts';
import type {OwnerFixture} from './owner_fixture.js';
import type {OwnershipChanges} from './ownership_changes_types.js';
import type {RivalEntry} from './rival_entry_types.js';

const RECONCILE_INTERVAL_MILLISECONDS = 300;
const MAX_NOTICE_MILLISECONDS = 4_000;
const MAX_SUSPENSION_MILLISECONDS = 10_000;
/** Time after which an entry that renews nothing has lost its lease. */
const LEASE_MILLISECONDS = 2_000;
/** Probabilities for each step. */
const HANDOVER_PROBABILITY = 0.01;
const SUSPENSION_PROBABILITY = 0.004;
const LAPSE_PROBABILITY = 0.002;

/**
 * Each shard has an owner of its own. It is handed over between live entries,
 * or another entry acquires it once the lease of its owner has ended, as during
 * a suspension.
 */
export class ShardHandovers implements OwnershipChanges {
  /** The entry that is to own each shard. */
  private assignments: readonly RivalEntry[];
  private isRecovering = false;

  constructor(
    private readonly entries: readonly RivalEntry[],
    private readonly clock: Clock,
    private readonly random: () => number,
  ) {
    const {table} = entries[0]!.owner;
    this.assignments = Array.from(
      {length: table.shardCount},
      () => entries[0]!,
    );
    for (const entry of entries) void this.keepReconciled(entry);
  }

  ownerOf(job: string): OwnerFixture {
    const [first] = this.entries;
    return this.assignments[first!.owner.table.shardOf(job)]!.owner;
  }

  maybeChange(): void {
    const {random} = this;
    if (random() < HANDOVER_PROBABILITY) this.handOver();
    if (random() < SUSPENSION_PROBABILITY)
      void this.suspend(this.pick(this.entries));
    if (random() < LAPSE_PROBABILITY) void this.lapse(this.pick(this.entries));
  }

  recover(): void {
    this.isRecovering = true;
    for (const {owner} of this.entries) owner.suspension.resume();
    this.assignments = this.assignments.map(() => this.entries[0]!);
  }

  private handOver(): void {
    const shard = Math.floor(this.random() * this.assignments.length);
    const next = this.pickMember();
    this.assignments = this.assignments.with(shard, next);
  }

  /** Suspends an entry, perhaps for longer than its lease lasts. */
  private async suspend(entry: RivalEntry): Promise<void> {
    const {clock, random} = this;
    const {owner, links} = entry;
    if (owner.suspension.isSuspended) return;
    const start = clock.now();
    const deadline = start + MAX_SUSPENSION_MILLISECONDS * random();
    owner.suspension.suspend();
    for (const link of links) void link.outlastSuspension(deadline);
    const leaseDeadline = start + LEASE_MILLISECONDS * random();
    await clock.sleepUntil(Math.min(deadline, leaseDeadline));
    if (owner.suspension.isSuspended && leaseDeadline < deadline)
      void this.lapse(entry);
    await clock.sleepUntil(deadline);
    owner.suspension.resume();
  }

  /** Ends the lease of an entry, which notices it later and registers again. */
  private async lapse(entry: RivalEntry): Promise<void> {
    const {clock, random} = this;
    const {owner} = entry;
    if (!owner.isMember || this.isRecovering) return;
    const noticeAt = clock.now() + MAX_NOTICE_MILLISECONDS * random();
    owner.loseLease();
    owner.lapseUnnoticed();
    this.assignments = this.assignments.map(one =>
      one === entry ? this.pickMember() : one,
    );
    await clock.sleepUntil(noticeAt);
    await owner.suspension.awake();
    await owner.registerAgain();
  }

  /** The background loop of one entry that acquires and releases shards. */
  private async keepReconciled(entry: RivalEntry): Promise<never> {
    const {owner} = entry;
    for (;;) {
      await owner.suspension.awake();
      const shards = this.assignments
        .map((assigned, shard) => ({assigned, shard}))
        .filter(({assigned}) => assigned === entry)
        .map(({shard}) => shard);
      // The next round acquires what this one could not.
      if (owner.isMember) await owner.keepOnly(shards).catch(() => undefined);
      const next = this.clock.now() + RECONCILE_INTERVAL_MILLISECONDS;
      await this.clock.sleepUntil(next);
    }
  }

  /** An entry that runs under a lease, any one if none does. */
  private pickMember(): RivalEntry {
    const isMember = ({owner}: RivalEntry) =>
      owner.isMember && !owner.suspension.isSuspended;
    const members = this.entries.filter(isMember);
    return this.pick(members.length > 0 ? members : this.entries);
  }

  private pick<T>(choices: readonly T[]): T {
    return choices[Math.floor(this.random() * choices.length)]!;
  }
}
