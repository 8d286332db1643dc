import {
  ChicoryspringError,
  withDeadline,
  type Clock,
} from '@chicoryspring/contracts';
import type {Store} from '@chicoryspring/store';
import {CommitWriter} from '../commit/commit_writer.js';
import {RecordRetention} from '../record/record_retention.js';
import type {ShardRecord} from '../record/shard_record_types.js';
import {OwnedShard} from '../shard/owned_shard.js';
import {ShardHash} from '../shard/shard_hash.js';
import type {OwnershipView} from './ownership_view_types.js';
import {ChangeInFlight} from './change_in_flight.js';
import {preferredShardOwner} from './preferred_shard_owner.js';
import {requireCapacity} from './shard_size_check.js';
import {ShardOwnerKeys} from './shard_owner_keys.js';
import type {ShardTableOptions} from './shard_table_options_types.js';

/** Commit rate of all owners together, in store writes per second. */
const MAX_COMMITS_PER_SECOND = 150;
const MILLISECONDS_PER_SECOND = 1_000;
/** Time for which an owner collects changes for one commit, at least. */
const MIN_COMMIT_INTERVAL_MILLISECONDS = 30;
/** Length of the journal at which a snapshot is written. */
const MAX_JOURNAL_LENGTH = 64;
/** Share of a transaction's operations that may delete journal entries. */
const MAX_DELETED_JOURNAL_SHARE = 3 / 8;
/** Time that a release waits for the changes in flight. */
const RELEASE_TIMEOUT_MILLISECONDS = 2_000;

type Change = (current: ShardRecord | undefined) => ShardRecord | undefined;

/** The shards that this entry owns, with durable updates of their records. */
export class ShardTable {
  private readonly shards = new Map<number, OwnedShard>();
  /** Shards that are being released; they accept no new changes. */
  private readonly releasing = new Set<OwnedShard>();
  /** For each key, a promise for the end of its last change. */
  private readonly lastChanges = new Map<string, Promise<unknown>>();
  private readonly writer: CommitWriter;
  private readonly ownerKeys: ShardOwnerKeys;
  private readonly retention: RecordRetention;
  private readonly stopping = new AbortController();
  /** Entries that own shards, this one among them. */
  private ownerCount = 1;
  /** Counts expired leases; an acquisition under an earlier one is ignored. */
  private leaseGeneration = 0;

  constructor(
    store: Store,
    private readonly clock: Clock,
    private readonly options: ShardTableOptions,
  ) {
    this.ownerKeys = new ShardOwnerKeys(store, options.entryName);
    this.retention = new RecordRetention(this, clock);
    this.writer = new CommitWriter(
      store,
      clock,
      owned => this.shards.get(owned.shard) === owned,
      () => this.commitIntervalMilliseconds,
      owned => this.drop(owned),
      options.maxJournalLength ?? maxJournalLengthOf(store),
      options.random ?? Math.random,
    );
  }

  /** The background loops that commit changes and delete expired records. */
  async run(): Promise<void> {
    const {signal} = this.stopping;
    await Promise.all([this.writer.run(), this.retention.run(signal)]);
  }

  stop(): void {
    this.stopping.abort();
    this.writer.stop();
  }

  shardOf(key: string): number {
    return ShardHash.forKey(key, this.options.shardCount);
  }

  owns(key: string): boolean {
    return this.shards.has(this.shardOf(key));
  }

  /** Ownership epoch: revision of the owner key; undefined if not owned. */
  epochOf(shard: number): number | undefined {
    return this.shards.get(shard)?.ownerRevision;
  }

  /** The owned shards with their ownership epochs. */
  get ownerships(): readonly {
    readonly shard: number;
    readonly epoch: number;
  }[] {
    const owned = [...this.shards.values()];
    return owned.map(({shard, ownerRevision: epoch}) => ({shard, epoch}));
  }

  get shardCount(): number {
    return this.options.shardCount;
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
   * Changes of one key are serialized. A change that returns the current
   * record writes nothing.
   */
  async update(
    key: string,
    change: Change,
    deadline: number,
  ): Promise<ShardRecord | undefined> {
    this.requireOwned(key);
    const previous = this.lastChanges.get(key) ?? Promise.resolve();
    const started = previous.then(() => this.apply(key, change, deadline));
    const ended = started.then(
      one => one.writeEnded,
      () => undefined,
    );
    this.lastChanges.set(key, ended);
    void ended.then(() => {
      if (this.lastChanges.get(key) === ended) this.lastChanges.delete(key);
    });
    return await (
      await started
    ).result;
  }

  /** Acquires the shards that this entry should own and releases the others. */
  async reconcileOwnership(view: OwnershipView, lease: string): Promise<void> {
    const {entryName} = this.options;
    this.ownerCount = new Set([...view.owners.values(), entryName]).size;
    const shards = Array.from({length: this.options.shardCount}, (_, n) => n);
    const results = await Promise.allSettled(
      shards.map(shard => this.reconcileShard(shard, view, lease)),
    );
    const failed = results.find(one => one.status === 'rejected');
    if (failed) throw failed.reason;
  }

  /** Drops every shard from memory, after the lease of this entry expired. */
  dropAll(): void {
    this.leaseGeneration += 1;
    for (const owned of [...this.shards.values()]) this.drop(owned);
  }

  /** Releases every shard; changes in flight may take until the deadline. */
  async releaseAll(deadline = Infinity): Promise<void> {
    const owned = [...this.shards.values()];
    await Promise.allSettled(owned.map(one => this.release(one, deadline)));
  }

  private async reconcileShard(
    shard: number,
    view: OwnershipView,
    lease: string,
  ): Promise<void> {
    const {entryName} = this.options;
    const preferred = preferredShardOwner(shard, view, this.options);
    const owner = view.owners.get(shard);
    const owned = this.shards.get(shard);
    const isOwnKey = owner === entryName;
    if (preferred !== entryName) {
      if (owned) await this.release(owned);
      else if (isOwnKey) await this.ownerKeys.releaseOrphaned(shard);
    } else if (!owned && (isOwnKey || owner === undefined)) {
      await this.acquire(shard, lease);
    }
  }

  private get commitIntervalMilliseconds(): number {
    const share =
      (this.ownerCount * MILLISECONDS_PER_SECOND) / MAX_COMMITS_PER_SECOND;
    return Math.max(share, MIN_COMMIT_INTERVAL_MILLISECONDS);
  }

  /** Throws when the key's shard is not owned or is being released. */
  private requireOwned(key: string): void {
    const owned = this.shards.get(this.shardOf(key));
    if (owned && !this.releasing.has(owned)) return;
    throw unownedError(this.shardOf(key));
  }

  private apply(key: string, change: Change, deadline: number): ChangeInFlight {
    const owned = this.shards.get(this.shardOf(key));
    if (!owned) throw unownedError(this.shardOf(key));
    const current = owned.get(key);
    const record = change(current);
    if (record === current) return ChangeInFlight.unchanged(current);
    const bytes = record ? OwnedShard.sizeOf(record) : 0;
    requireCapacity(owned, bytes, current === undefined);
    const changeInFlight = new ChangeInFlight(record);
    this.writer.enqueue({
      owned,
      key,
      record,
      bytes,
      deadline,
      ...changeInFlight.callbacks,
    });
    return changeInFlight;
  }

  private async acquire(shard: number, lease: string): Promise<void> {
    const generation = this.leaseGeneration;
    const owned = await this.ownerKeys.acquire(shard, lease);
    const isStale = generation !== this.leaseGeneration;
    if (!owned || isStale || this.shards.has(shard)) return;
    this.shards.set(shard, owned);
    this.options.onGained(owned.all(), shard);
  }

  private async release(owned: OwnedShard, deadline = Infinity): Promise<void> {
    this.releasing.add(owned);
    try {
      await this.waitForChanges(owned, deadline);
    } finally {
      this.releasing.delete(owned);
      this.drop(owned);
    }
    await this.ownerKeys.release(owned.shard, owned.ownerRevision);
  }

  /** Waits for the changes in flight, but no longer than the timeout. */
  private async waitForChanges(
    owned: OwnedShard,
    latest: number,
  ): Promise<void> {
    const changes = [...this.lastChanges]
      .filter(([key]) => this.shardOf(key) === owned.shard)
      .map(([, change]) => change);
    const deadline = Math.min(
      latest,
      this.clock.now() + RELEASE_TIMEOUT_MILLISECONDS,
    );
    const timedOut = () => new ChicoryspringError('deadline-passed', 'release');
    const finished = Promise.allSettled(changes);
    await withDeadline(this.clock, deadline, finished, timedOut).catch(
      () => undefined,
    );
  }

  private drop(owned: OwnedShard): void {
    if (this.shards.get(owned.shard) !== owned) return;
    this.shards.delete(owned.shard);
    this.options.onLost(owned.all(), owned.shard);
  }
}

function maxJournalLengthOf(store: Store): number {
  const share = Math.floor(
    store.maxTransactionSize * MAX_DELETED_JOURNAL_SHARE,
  );
  return Math.min(MAX_JOURNAL_LENGTH, share);
}

function unownedError(shard: number): ChicoryspringError {
  const message = `shard ${shard} has another owner`;
  return new ChicoryspringError('shard-unowned', message);
}
