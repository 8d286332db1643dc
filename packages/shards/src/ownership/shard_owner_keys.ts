import type {Store} from '@chicoryspring/store';
import type {OwnedShard} from '../shard/owned_shard.js';
import {ShardKeys} from '../shard/shard_keys.js';
import {loadShard} from '../shard/shard_loader.js';

/** Acquires and releases the owner keys of shards for one entry. */
export class ShardOwnerKeys {
  constructor(
    private readonly store: Store,
    private readonly entryName: string,
  ) {}

  /**
   * Acquires a shard and loads it; undefined when another entry owns it.
   *
   * The key may already name this entry, after a lost reply or from a previous
   * process of the same name. It is then written again, so that its new
   * revision fences the earlier writer.
   */
  async acquire(shard: number, lease: string): Promise<OwnedShard | undefined> {
    const revision =
      (await this.tryAcquire(shard, lease, 0)) ??
      (await this.reacquire(shard, lease));
    if (revision === undefined) return undefined;
    return await loadShard(this.store, shard, revision);
  }

  /** Deletes the owner key that this entry wrote at the given revision. */
  async release(shard: number, revision: number): Promise<void> {
    const key = ShardKeys.owner(shard);
    const removal = {kind: 'delete' as const, key};
    await this.store.transact([{key, revision}], [removal]);
  }

  /** Deletes an owner key that names this entry although it isn't the owner. */
  async releaseOrphaned(shard: number): Promise<void> {
    const revision = await this.readOwnRevision(shard);
    if (revision !== undefined) await this.release(shard, revision);
  }

  private async reacquire(
    shard: number,
    lease: string,
  ): Promise<number | undefined> {
    const revision = await this.readOwnRevision(shard);
    if (revision === undefined) return undefined;
    return await this.tryAcquire(shard, lease, revision);
  }

  private async tryAcquire(
    shard: number,
    lease: string,
    revision: number,
  ): Promise<number | undefined> {
    const key = ShardKeys.owner(shard);
    const outcome = await this.store.transact(
      [{key, revision}],
      [{kind: 'put', key, value: this.entryName, lease}],
    );
    return outcome.succeeded ? outcome.revision : undefined;
  }

  private async readOwnRevision(shard: number): Promise<number | undefined> {
    const range = await this.store.readPrefix(ShardKeys.owner(shard));
    const ownerValue = range.values[0];
    return ownerValue?.value === this.entryName
      ? ownerValue.revision
      : undefined;
  }
}
