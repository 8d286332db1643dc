import type {Clock} from '@chicoryspring/contracts';
import type {MemoryStore} from '@chicoryspring/store/spec/memory_store_fake.js';
import {ShardTable} from '../ownership/shard_table.js';
import {ShardKeys} from '../shard/shard_keys.js';
import {countedRecord} from './counted_record.js';
import type {OwnershipView} from '../ownership/ownership_view_types.js';

const LEASE_MILLISECONDS = 600_000;

/** One entry of a schedule: its table, its lease, and its own view. */
export class ShardFixture {
  readonly table: ShardTable;
  private lease: string | undefined;

  constructor(
    readonly name: string,
    private readonly store: MemoryStore,
    clock: Clock,
    shardCount: number,
    journalLimit?: number,
  ) {
    this.table = new ShardTable(store, clock, {
      entryName: name,
      shardCount,
      onGained: () => undefined,
      onLost: () => undefined,
      random: () => 1,
      ...(journalLimit === undefined ? {} : {journalLimit}),
    });
    void this.table.run();
  }

  /** Claims and releases by what the store says now. */
  async settle(entries: readonly string[]): Promise<void> {
    this.lease ??= (await this.store.grantLease(LEASE_MILLISECONDS)).id;
    await this.table.reconcileOwnership(this.view(entries), this.lease);
  }

  /** The store drops the lease while the entry goes on, unaware of it. */
  lapseUnnoticed(): void {
    if (this.lease) this.store.expireLeaseNow(this.lease);
  }

  /** The entry learns that its lease has lapsed. */
  noticeLapse(): void {
    this.lease = undefined;
    this.table.dropAll();
  }

  /** Raises the count of a record by one. */
  async raise(key: string, deadline: number): Promise<void> {
    await this.table.update(
      key,
      current => countedRecord(key, 1 + countOf(current)),
      deadline,
    );
  }

  private view(entries: readonly string[]): OwnershipView {
    const owners = new Map(
      this.store
        .peek(ShardKeys.owners)
        .map(({key, value}) => [
          Number(key.slice(ShardKeys.owners.length)),
          value,
        ]),
    );
    return {entries, owners};
  }
}

function countOf(record: ReturnType<ShardTable['get']>): number {
  return record?.kind === 'task' ? record.evictions : 0;
}
