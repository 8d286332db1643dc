import type {Clock} from '@chicoryspring/contracts';
import type {MemoryStore} from '@chicoryspring/store/spec/memory_store_fake.js';
import {ShardTable} from '../ownership/shard_table.js';
import {ShardKeys} from '../shard/shard_keys.js';
import {countedRecord} from './counted_record.js';
import type {OwnershipView} from '../ownership/ownership_view_types.js';

const LEASE_MILLISECONDS = 600_000;

/** One entry under test: its shard table and its lease. */
export class ShardFixture {
  readonly table: ShardTable;
  private lease: string | undefined;

  constructor(
    readonly name: string,
    private readonly store: MemoryStore,
    clock: Clock,
    shardCount: number,
    maxJournalLength?: number,
    isOwnerKept = false,
  ) {
    this.table = new ShardTable(store, clock, {
      entryName: name,
      shardCount,
      isOwnerKept,
      onGained: () => undefined,
      onLost: () => undefined,
      random: () => 1,
      ...(maxJournalLength === undefined ? {} : {maxJournalLength}),
    });
    void this.table.run();
  }

  /** Acquires and releases shards by the current owner keys in the store. */
  async reconcile(
    entries: readonly string[],
    candidates = entries,
  ): Promise<void> {
    this.lease ??= (await this.store.grantLease(LEASE_MILLISECONDS)).id;
    await this.table.reconcileOwnership(
      this.view(entries, candidates),
      this.lease,
    );
  }

  /** Expires the lease in the store; the entry does not notice. */
  expireLease(): void {
    if (this.lease) this.store.expireLeaseNow(this.lease);
  }

  /** Makes the entry notice that its lease has expired. */
  noticeExpiry(): void {
    this.lease = undefined;
    this.table.dropAll();
  }

  /** Increments the count of a record. */
  async increment(key: string, deadline: number): Promise<void> {
    await this.table.update(
      key,
      current => countedRecord(key, 1 + countOf(current)),
      deadline,
    );
  }

  private view(
    entries: readonly string[],
    candidates: readonly string[],
  ): OwnershipView {
    const owners = new Map(
      this.store
        .peek(ShardKeys.owners)
        .map(({key, value}) => [
          Number(key.slice(ShardKeys.owners.length)),
          value,
        ]),
    );
    return {entries, candidates, owners};
  }
}

function countOf(record: ReturnType<ShardTable['get']>): number {
  return record?.kind === 'task' ? record.evictions : 0;
}
