import {ChicoryspringError, Wakeup, type Clock} from '@chicoryspring/contracts';
import {Backoff, type Store} from '@chicoryspring/store';
import type {OwnedShard} from '../shard/owned_shard.js';
import {BatchWrite} from './batch_write.js';
import type {PendingChange} from './pending_change_types.js';
import {ShardWritePlanner} from './shard_write_planner.js';
import type {ShardWrite} from './shard_write_types.js';

/** Limits of one batch: number of changes, and bytes of their records. */
const MAX_BATCH_CHANGES = 256;
const MAX_BATCH_BYTES = 256 * 1_024;
/** Conditions and operations of one shard without a snapshot. */
const TRANSACTION_SIZE_PER_SHARD = 4;
/** Bounds of the delay before a write is retried. */
const INITIAL_DELAY_MILLISECONDS = 50;
const MAX_DELAY_MILLISECONDS = 1_000;

/**
 * Writes queued changes to the store, many in one transaction.
 *
 * One background loop drains the queue at a bounded rate, so the number of
 * store writes grows with the number of entries, not with that of changes.
 */
export class CommitWriter {
  private readonly wakeup = new Wakeup();
  private readonly stopping = new AbortController();
  private readonly backoff: Backoff;
  private readonly planner: ShardWritePlanner;
  /** Maximum shards in one transaction; leaves capacity for one snapshot. */
  private readonly maxShards: number;
  private queue: PendingChange[] = [];

  constructor(
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly isOwned: (owned: OwnedShard) => boolean,
    /** Minimum time between the starts of two writes, in milliseconds. */
    private readonly intervalMilliseconds: () => number,
    private readonly onOwnershipLost: (owned: OwnedShard) => void,
    maxDeletedEntries: number,
    private readonly random: () => number,
  ) {
    this.backoff = this.createBackoff();
    const freeSize = store.maxTransactionSize - maxDeletedEntries - 1;
    this.maxShards = Math.max(
      1,
      Math.floor(freeSize / TRANSACTION_SIZE_PER_SHARD),
    );
    this.planner = new ShardWritePlanner(maxDeletedEntries);
  }

  /** Enqueues a change; its callbacks report when it is durable or rejected. */
  enqueue(change: PendingChange): void {
    this.queue.push(change);
    this.wakeup.notify();
  }

  /** The background loop of the writer; returns after `stop`. */
  async run(): Promise<void> {
    const {signal} = this.stopping;
    while (!signal.aborted) {
      if (this.queue.length === 0) await this.wakeup.wait(signal);
      const nextWriteTime = this.clock.now() + this.intervalMilliseconds();
      await this.writeBatch(signal);
      await this.clock.sleepUntil(nextWriteTime, signal);
    }
    this.reject(this.queue, 'the entry is shutting down');
    this.queue = [];
  }

  stop(): void {
    this.stopping.abort();
  }

  private createBackoff(): Backoff {
    return new Backoff(
      INITIAL_DELAY_MILLISECONDS,
      MAX_DELAY_MILLISECONDS,
      this.random,
    );
  }

  private async writeBatch(signal: AbortSignal): Promise<void> {
    this.rejectExpired();
    const batch = this.dequeueBatch();
    const owned = batch.filter(change => this.isOwned(change.owned));
    rejectUnowned(batch.filter(change => !this.isOwned(change.owned)));
    if (owned.length > 0) await this.write(this.planner.plan(owned), signal);
  }

  private dequeueBatch(): readonly PendingChange[] {
    const batch: PendingChange[] = [];
    const shards = new Set<number>();
    let bytes = 0;
    for (const change of this.queue) {
      bytes += change.bytes;
      shards.add(change.owned.shard);
      const isFull =
        batch.length >= MAX_BATCH_CHANGES ||
        bytes > MAX_BATCH_BYTES ||
        shards.size > this.maxShards;
      if (isFull && batch.length > 0) break;
      batch.push(change);
    }
    this.queue = this.queue.slice(batch.length);
    return batch;
  }

  private async write(
    writes: readonly ShardWrite[],
    signal: AbortSignal,
  ): Promise<void> {
    const {store, clock} = this;
    const onRetry = () => this.rejectExpired();
    const backoff = this.createBackoff();
    const batch = new BatchWrite(store, clock, writes, backoff, onRetry);
    const result = await batch.run(signal);
    if (result.kind === 'unsent') return await this.requeue(writes, signal);
    this.backoff.reset();
    if (result.kind === 'applied') return confirm(writes, result.revision);
    if (result.kind === 'uncertain') return this.reportUncertainShards(writes);
    if (writes.length === 1) return this.reportLostShard(writes[0]!);
    // At least one shard has a new owner; the others are written one by one.
    for (const write of writes) await this.write([write], signal);
  }

  /** Requeues changes that were not written; they may still expire. */
  private async requeue(
    writes: readonly ShardWrite[],
    signal: AbortSignal,
  ): Promise<void> {
    const unsent = writes.flatMap(write => write.changes);
    this.queue = [...unsent, ...this.queue];
    const retryTime = this.clock.now() + this.backoff.next();
    await this.clock.sleepUntil(retryTime, signal);
  }

  private rejectExpired(): void {
    const now = this.clock.now();
    const expired = this.queue.filter(change => change.deadline <= now);
    if (expired.length === 0) return;
    this.queue = this.queue.filter(change => change.deadline > now);
    this.reject(expired, 'the store did not accept the write in time');
  }

  private reject(changes: readonly PendingChange[], message: string): void {
    const error = new ChicoryspringError('store-unavailable', message);
    for (const change of changes) change.reject(error);
  }

  private reportLostShard(write: ShardWrite): void {
    this.onOwnershipLost(write.owned);
    rejectUnowned(write.changes);
  }

  private reportUncertainShards(writes: readonly ShardWrite[]): void {
    const message = 'the shard was lost while a write was in flight';
    const error = new ChicoryspringError('store-outcome-unknown', message);
    for (const write of writes) {
      this.onOwnershipLost(write.owned);
      for (const change of write.changes) change.reject(error);
    }
  }
}

function confirm(writes: readonly ShardWrite[], revision: number): void {
  for (const write of writes) {
    const {owned, changes, journalBytes, oldestSequence} = write;
    for (const {key, record} of changes) owned.set(key, record);
    if (write.hasSnapshot) owned.recordSnapshot(revision, oldestSequence);
    else owned.recordJournalEntry(journalBytes, oldestSequence);
    for (const change of changes) change.resolve();
  }
}

function rejectUnowned(changes: readonly PendingChange[]): void {
  for (const change of changes) {
    const message = `shard ${change.owned.shard} has another owner`;
    change.reject(new ChicoryspringError('shard-unowned', message));
  }
}
