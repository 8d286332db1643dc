import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {toChicoryspringError} from '@chicoryspring/contracts';
import {MemoryStore} from '@chicoryspring/store/spec/memory_store_fake.js';
import type {MemoryStoreFault} from '@chicoryspring/store/spec/memory_store_fault_types.js';
import {ManualClock, describe} from '@chicoryspring/testing';
import {ShardFixture} from './shard_fixture.js';

const SEED = 20_261_204;
const RUNS = 600;
const SHARDS = 2;
const MAX_JOURNAL_LENGTH = 3;
const STEP_MILLISECONDS = 20;
/** The first round releases orphaned shards; the second acquires them. */
const RECONCILE_ROUNDS = 2;
const MAX_ROUNDS = 2_000;
const CHANGE_TIMEOUT_MILLISECONDS = 400;
const KEYS = ['a', 'b', 'c', 'd'];
const NO_FAULT: MemoryStoreFault = {
  kind: 'none',
  requestMilliseconds: 0,
  replyMilliseconds: 0,
};

const fault = fc.record({
  kind: fc.constantFrom(
    ...Array<'none'>(9).fill('none'),
    'refused',
    'dropped',
    'lost',
  ),
  requestMilliseconds: fc.constantFrom(0, 0, 20, 100),
  replyMilliseconds: fc.constantFrom(0, 0, 20, 300),
}) as fc.Arbitrary<MemoryStoreFault>;

const step = fc.record({
  /**
   * `raise` increments a record, `settle` reconciles the ownership of shards,
   * `move` changes the members, `lapse` expires the lease of an entry, and
   * `notice` makes the entry notice that.
   */
  action: fc.constantFrom(
    ...Array<'raise'>(7).fill('raise'),
    ...Array<'settle'>(3).fill('settle'),
    'move',
    'lapse',
    'notice',
  ),
  entry: fc.nat(1),
  key: fc.constantFrom(...KEYS),
  /** Entries that are members after a `move`. */
  members: fc.constantFrom(['one', 'two'], ['one'], ['two']),
  milliseconds: fc.constantFrom(0, 20, 100, 500),
});

type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;

interface Count {
  readonly confirmed: number;
  readonly unknown: number;
}

class Schedule {
  readonly clock = new ManualClock();
  readonly counts = new Map<string, Count>();
  readonly store: MemoryStore;
  private members: readonly string[] = ['one', 'two'];
  readonly entries: readonly ShardFixture[];
  private inProgress = 0;
  /** Whether calls are free of faults, as they are at the first acquisition. */
  private isFaultFree = true;

  constructor(faults: readonly MemoryStoreFault[]) {
    let position = 0;
    this.store = new MemoryStore(this.clock, () =>
      this.isFaultFree ? NO_FAULT : faults[position++ % faults.length]!,
    );
    this.entries = this.members.map(
      name =>
        new ShardFixture(
          name,
          this.store,
          this.clock,
          SHARDS,
          MAX_JOURNAL_LENGTH,
        ),
    );
  }

  async begin(): Promise<void> {
    this.reconcileAll();
    await this.finish();
    this.isFaultFree = false;
  }

  async perform({
    action,
    entry,
    key,
    members,
    milliseconds,
  }: Step): Promise<void> {
    const acting = this.entries[entry]!;
    if (action === 'raise') this.incrementAtOwners(key);
    if (action === 'settle') this.reconcileAll();
    if (action === 'lapse') acting.expireLease();
    if (action === 'notice') acting.noticeExpiry();
    if (action === 'move') {
      this.members = members;
      this.reconcileAll();
    }
    await this.clock.advance(milliseconds);
  }

  /** Clears the faults, waits for work in flight and reacquires the shards. */
  async recover(): Promise<void> {
    this.isFaultFree = true;
    await this.finish();
    for (const entry of this.entries) {
      entry.expireLease();
      entry.noticeExpiry();
    }
    for (let round = 0; round < RECONCILE_ROUNDS; round += 1) {
      this.reconcileAll();
      await this.finish();
    }
  }

  /** The count of a key at the entry that owns its shard. */
  storedCount(key: string): number {
    const owners = this.entries.filter(entry => entry.table.owns(key));
    assert.is(owners.length, 1, `${key} has ${owners.length} owners`);
    const record = owners[0]!.table.get(key);
    return record?.kind === 'task' ? record.evictions : 0;
  }

  private reconcileAll(): void {
    for (const entry of this.entries) this.track(entry.reconcile(this.members));
  }

  /** Increments the count at each entry that regards itself as the owner. */
  private incrementAtOwners(key: string): void {
    for (const entry of this.entries) {
      if (entry.table.owns(key)) this.increment(entry, key);
    }
  }

  private increment(entry: ShardFixture, key: string): void {
    const deadline = this.clock.now() + CHANGE_TIMEOUT_MILLISECONDS;
    const add = (confirmed: number, unknown: number) => {
      const known = this.counts.get(key) ?? {confirmed: 0, unknown: 0};
      this.counts.set(key, {
        confirmed: known.confirmed + confirmed,
        unknown: known.unknown + unknown,
      });
    };
    this.track(
      entry.increment(key, deadline).then(
        () => add(1, 0),
        thrown => {
          const {outcome} = toChicoryspringError(thrown).answer;
          if (outcome !== 'not-run') add(0, 1);
        },
      ),
    );
  }

  private track(work: Promise<unknown>): void {
    this.inProgress += 1;
    void work
      .catch(() => undefined)
      .finally(() => {
        this.inProgress -= 1;
      });
  }

  private async finish(): Promise<void> {
    for (let round = 0; round < MAX_ROUNDS; round += 1) {
      await this.clock.advance(STEP_MILLISECONDS);
      if (this.inProgress === 0) return;
    }
    assert.unreachable('work did not finish');
  }
}

describe('shards', () => {
  describe('under a seeded schedule of faults', test => {
    test('lose no confirmed change and apply none twice', async () => {
      await fc.assert(
        fc.asyncProperty(
          fc.array(step, {minLength: 30, maxLength: 80, size: 'max'}),
          fc.array(fault, {minLength: 8, maxLength: 80, size: 'max'}),
          async (steps, faults) => {
            const schedule = new Schedule(faults);
            await schedule.begin();
            for (const one of steps) await schedule.perform(one);
            await schedule.recover();
            for (const [key, {confirmed, unknown}] of schedule.counts) {
              const stored = schedule.storedCount(key);
              assert.ok(
                stored >= confirmed,
                `${key} lost ${confirmed}/${stored}`,
              );
              assert.ok(
                stored <= confirmed + unknown,
                `${key} doubled ${confirmed}+${unknown}/${stored}`,
              );
            }
            for (const entry of schedule.entries) entry.table.stop();
          },
        ),
        {seed: SEED, numRuns: RUNS, includeErrorInReport: true},
      );
    });
  });
});
