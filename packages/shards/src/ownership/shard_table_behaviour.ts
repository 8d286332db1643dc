import {ChicoryspringError, type Clock} from '@chicoryspring/contracts';
import type {Store} from '@chicoryspring/store';
import {CommitWriter} from '../commit/commit_writer_behaviour.js';
import type {ShardRecord} from '../record/shard_record_types.js';
import {loadShard} from '../shard/shard_loader.js';
import type {OwnedShardStore} from '../shard/owned_shard_store.js';
import {ShardKeys} from '../shard/shard_keys.js';
import {ShardNumber} from '../shard/shard_number.js';
import type {FleetView} from './fleet_view_types.js';

/** Writes per second that all entries together spend on commits. */
const COMMIT_BUDGET_PER_SECOND = 150;
const MILLISECONDS_PER_SECOND = 1_000;

type Change = (current: ShardRecord | undefined) => ShardRecord | undefined;

/** The shards that this entry owns, and the durable changes of their records. */
export class ShardTable {
  private readonly shards = new Map<number, OwnedShardStore>();
  private readonly turns = new Map<string, Promise<unknown>>();
  private readonly writer: CommitWriter;
  private entryCount = 1;

  constructor(
    private readonly store: Store,
    clock: Clock,
    private readonly entryName: string,
    readonly shardCount: number,
    private readonly onGained: (records: readonly ShardRecord[]) => void,
    private readonly onLost: (shard: number) => void,
  ) {
    this.writer = new CommitWriter(
      store,
      clock,
      this.shards,
      () =>
        (this.entryCount * MILLISECONDS_PER_SECOND) / COMMIT_BUDGET_PER_SECOND,
      shard => this.forget(shard),
    );
  }

  /** The task that makes changes durable. */
  async run(): Promise<void> {
    await this.writer.run();
  }

  stop(): void {
    this.writer.stop();
  }

  shardOf(key: string): number {
    return ShardNumber.of(key, this.shardCount);
  }

  owns(key: string): boolean {
    return this.shards.has(this.shardOf(key));
  }

  get ownedShards(): readonly number[] {
    return [...this.shards.keys()];
  }

  get(key: string): ShardRecord | undefined {
    return this.shards.get(this.shardOf(key))?.get(key);
  }

  all(): readonly ShardRecord[] {
    return [...this.shards.values()].flatMap(shard => shard.all());
  }

  /**
   * Changes one record; resolves once the change is durable.
   *
   * Changes of one key take turns. A change that returns the current record
   * writes nothing.
   */
  async update(
    key: string,
    change: Change,
    deadline: number,
  ): Promise<ShardRecord | undefined> {
    const before = this.turns.get(key) ?? Promise.resolve();
    const turn = before
      .catch(() => undefined)
      .then(() => this.apply(key, change, deadline));
    this.turns.set(key, turn);
    try {
      return await turn;
    } finally {
      if (this.turns.get(key) === turn) this.turns.delete(key);
    }
  }

  /** Claims the shards that this entry should own; releases the others. */
  async settleOwnership(view: FleetView, lease: string): Promise<void> {
    this.entryCount = Math.max(1, view.entries.length);
    for (let shard = 0; shard < this.shardCount; shard += 1) {
      const preferred = ShardNumber.preferredOwner(shard, view.entries);
      const isMine = preferred === this.entryName;
      const owner = view.owners.get(shard);
      if (isMine && owner === undefined) await this.claim(shard, lease);
      if (!isMine && this.shards.has(shard)) await this.release(shard);
    }
  }

  /** Forgets every shard, after the lease of this entry has lapsed. */
  forgetAll(): void {
    for (const shard of this.ownedShards) this.forget(shard);
  }

  /** Hands over every shard, before this entry leaves. */
  async releaseAll(): Promise<void> {
    for (const shard of this.ownedShards) await this.release(shard);
  }

  private async apply(
    key: string,
    change: Change,
    deadline: number,
  ): Promise<ShardRecord | undefined> {
    const shard = this.shardOf(key);
    const owned = this.shards.get(shard);
    if (!owned) {
      const message = `shard ${shard} has another owner`;
      throw new ChicoryspringError('shard-unowned', message);
    }
    const current = owned.get(key);
    const record = change(current);
    if (record === current) return current;
    await new Promise<void>((resolve, reject) =>
      this.writer.add({shard, key, record, deadline, resolve, reject}),
    );
    return record;
  }

  private async claim(shard: number, lease: string): Promise<void> {
    if (this.shards.has(shard)) return;
    const key = ShardKeys.owner(shard);
    const claimed = await this.store.transact(
      [{key, revision: 0}],
      [{kind: 'put', key, value: this.entryName, lease}],
    );
    if (!claimed.succeeded) return;
    const owned = await loadShard(this.store, shard, claimed.revision);
    this.shards.set(shard, owned);
    this.onGained(owned.all());
  }

  private async release(shard: number): Promise<void> {
    const owned = this.shards.get(shard);
    if (!owned) return;
    this.forget(shard);
    const key = ShardKeys.owner(shard);
    await this.store.transact(
      [{key, revision: owned.ownerRevision}],
      [{kind: 'delete-range', from: key, end: `${key}\0`}],
    );
  }

  private forget(shard: number): void {
    if (this.shards.delete(shard)) this.onLost(shard);
  }
}
