import {ChicoryspringError, Wakeup, type Clock} from '@chicoryspring/contracts';
import {Backoff, type Store} from '@chicoryspring/store';
import type {OwnedShard} from '../shard/owned_shard.js';
import {BatchWrite} from './batch_write.js';
import type {PendingChange} from './pending_change_types.js';
import {ShardWritePlanner} from './shard_write_planner.js';
import type {ShardWrite} from './shard_write_types.js';

/** Limits of one store transaction, in changes and in bytes. */
const BATCH_CHANGES = 256;
const BATCH_BYTES = 256 * 1_024;
/** Conditions and operations that a shard adds to a transaction. */
const PARTS_PER_SHARD = 4;
/** Bounds of the delay before a write is retried. */
const FIRST_DELAY_MILLISECONDS = 50;
const LONGEST_DELAY_MILLISECONDS = 1_000;

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
  private readonly mostShards: number;
  private queue: PendingChange[] = [];

  constructor(
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly isOwned: (owned: OwnedShard) => boolean,
    /** Minimum time between the starts of two writes, in milliseconds. */
    private readonly intervalMilliseconds: () => number,
    private readonly onOwnershipLost: (owned: OwnedShard) => void,
    journalLimit: number,
    private readonly random: () => number,
  ) {
    this.backoff = this.createBackoff();
    const room = store.maxTransactionSize - journalLimit - 1;
    this.mostShards = Math.max(1, Math.floor(room / PARTS_PER_SHARD));
    this.planner = new ShardWritePlanner(journalLimit);
  }

  /** Enqueues a change; its callbacks report when it is durable or rejected. */
  add(change: PendingChange): void {
    this.queue.push(change);
    this.wakeup.notify();
  }

  /** The background loop of the writer; returns after `stop`. */
  async run(): Promise<void> {
    const {signal} = this.stopping;
    while (!signal.aborted) {
      if (this.queue.length === 0) await this.wakeup.wait(signal);
      const next = this.clock.now() + this.intervalMilliseconds();
      await this.writeBatch(signal);
      await this.clock.sleepUntil(next, signal);
    }
    this.refuse(this.queue, 'the entry is shutting down');
    this.queue = [];
  }

  stop(): void {
    this.stopping.abort();
  }

  private createBackoff(): Backoff {
    return new Backoff(
      FIRST_DELAY_MILLISECONDS,
      LONGEST_DELAY_MILLISECONDS,
      this.random,
    );
  }

  private async writeBatch(signal: AbortSignal): Promise<void> {
    this.refuseExpired();
    const batch = this.takeBatch();
    const owned = batch.filter(change => this.isOwned(change.owned));
    refuseUnowned(batch.filter(change => !this.isOwned(change.owned)));
    if (owned.length > 0) await this.write(this.planner.plan(owned), signal);
  }

  private takeBatch(): readonly PendingChange[] {
    const batch: PendingChange[] = [];
    const shards = new Set<number>();
    let bytes = 0;
    for (const change of this.queue) {
      bytes += change.bytes;
      shards.add(change.owned.shard);
      const isFull =
        batch.length >= BATCH_CHANGES ||
        bytes > BATCH_BYTES ||
        shards.size > this.mostShards;
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
    const onDelayed = () => this.refuseExpired();
    const backoff = this.createBackoff();
    const batch = new BatchWrite(store, clock, writes, backoff, onDelayed);
    const result = await batch.run(signal);
    if (result.kind === 'unsent') return await this.putBack(writes, signal);
    this.backoff.reset();
    if (result.kind === 'applied') return settle(writes, result.revision);
    if (result.kind === 'uncertain') return this.loseUncertain(writes);
    if (writes.length === 1) return this.lose(writes[0]!);
    // At least one shard has a new owner; the others are written one by one.
    for (const write of writes) await this.write([write], signal);
  }

  /** Requeues changes that were not written; they may still expire. */
  private async putBack(
    writes: readonly ShardWrite[],
    signal: AbortSignal,
  ): Promise<void> {
    const unsent = writes.flatMap(write => write.changes);
    this.queue = [...unsent, ...this.queue];
    const next = this.clock.now() + this.backoff.next();
    await this.clock.sleepUntil(next, signal);
  }

  private refuseExpired(): void {
    const now = this.clock.now();
    const expired = this.queue.filter(change => change.deadline <= now);
    if (expired.length === 0) return;
    this.queue = this.queue.filter(change => change.deadline > now);
    this.refuse(expired, 'the store did not accept the write in time');
  }

  private refuse(changes: readonly PendingChange[], message: string): void {
    const error = new ChicoryspringError('store-unavailable', message);
    for (const change of changes) change.reject(error);
  }

  private lose(write: ShardWrite): void {
    this.onOwnershipLost(write.owned);
    refuseUnowned(write.changes);
  }

  private loseUncertain(writes: readonly ShardWrite[]): void {
    const message = 'the shard was lost while a write was in flight';
    const error = new ChicoryspringError('store-outcome-unknown', message);
    for (const write of writes) {
      this.onOwnershipLost(write.owned);
      for (const change of write.changes) change.reject(error);
    }
  }
}

function settle(writes: readonly ShardWrite[], revision: number): void {
  for (const {owned, changes, oldestSequence} of writes) {
    for (const {key, record} of changes) owned.set(key, record);
    if (oldestSequence === undefined) owned.journaled();
    else owned.snapshotted(revision, oldestSequence);
    for (const change of changes) change.resolve();
  }
}

function refuseUnowned(changes: readonly PendingChange[]): void {
  for (const change of changes) {
    const message = `shard ${change.owned.shard} has another owner`;
    change.reject(new ChicoryspringError('shard-unowned', message));
  }
}
