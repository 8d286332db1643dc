import {
  ChicoryspringError,
  toChicoryspringError,
  type Clock,
} from '@chicoryspring/contracts';
import type {Backoff, Store} from '@chicoryspring/store';
import {ShardKeys} from '../shard/shard_keys.js';
import type {BatchWriteResult} from './batch_write_result_types.js';
import {JournalEntryCodec} from './journal_entry_codec.js';
import type {ShardWrite} from './shard_write_types.js';

type Reading = 'applied' | 'not-applied' | 'inconclusive';

/**
 * One store transaction, retried until its outcome is known.
 *
 * Every attempt carries the same commit ids and conditions, so at most one of
 * them takes effect. Callers whose deadline passes in the meantime get an
 * unknown outcome.
 */
export class BatchWrite {
  /** Whether an earlier attempt may have taken effect. */
  private isUncertain = false;

  constructor(
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly writes: readonly ShardWrite[],
    private readonly backoff: Backoff,
    /** Called before each retry. */
    private readonly onDelayed: () => void,
  ) {}

  async run(signal: AbortSignal): Promise<BatchWriteResult> {
    for (;;) {
      const result = await this.tryOnce();
      if (result) return result;
      if (signal.aborted) return {kind: 'uncertain'};
      this.answerExpired();
      this.onDelayed();
      const next = this.clock.now() + this.backoff.next();
      await this.clock.sleepUntil(next, signal);
    }
  }

  /** Returns undefined when the transaction has to be retried. */
  private async tryOnce(): Promise<BatchWriteResult | undefined> {
    const conditions = this.writes.flatMap(write => write.conditions);
    const operations = this.writes.flatMap(write => write.operations);
    try {
      const outcome = await this.store.transact(conditions, operations);
      const {succeeded, revision} = outcome;
      if (succeeded) return {kind: 'applied', revision};
      return this.isUncertain ? await this.read() : {kind: 'lost'};
    } catch (thrown) {
      const {kind} = toChicoryspringError(thrown);
      if (kind !== 'store-unavailable') this.isUncertain = true;
      return this.isUncertain ? undefined : {kind: 'unsent'};
    }
  }

  /**
   * Reads back whether an earlier attempt took effect. The transaction is
   * atomic, so a conclusive result for one shard holds for all of them.
   */
  private async read(): Promise<BatchWriteResult> {
    for (const write of this.writes) {
      const {reading, revision} = await this.readOne(write);
      if (reading === 'applied') return {kind: 'applied', revision};
      if (reading === 'not-applied') return {kind: 'lost'};
    }
    return {kind: 'uncertain'};
  }

  private async readOne(
    write: ShardWrite,
  ): Promise<{readonly reading: Reading; readonly revision: number}> {
    const owner = ShardKeys.owner(write.owned.shard);
    const held = (await this.store.readPrefix(owner)).values[0];
    const found = (await this.store.readPrefix(write.journalKey)).values[0];
    const revision = found?.revision ?? 0;
    const commitId = found && JournalEntryCodec.decode(found.value).commitId;
    if (commitId === write.commitId) return {reading: 'applied', revision};
    // A new owner may have compacted the journal value into a snapshot.
    const isOurs = held?.revision === write.owned.ownerRevision;
    return {reading: isOurs ? 'not-applied' : 'inconclusive', revision};
  }

  private answerExpired(): void {
    const now = this.clock.now();
    const message = 'the store did not confirm the write before the deadline';
    for (const {changes} of this.writes) {
      for (const change of changes) {
        if (change.deadline > now) continue;
        change.answerLate(
          new ChicoryspringError('store-outcome-unknown', message),
        );
      }
    }
  }
}
