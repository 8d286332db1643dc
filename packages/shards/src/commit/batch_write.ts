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

type Verification = 'applied' | 'not-applied' | 'inconclusive';

/**
 * One store transaction, retried until its outcome is known.
 *
 * Every attempt carries the same commit ids and conditions, so at most one of
 * them takes effect. Callers whose deadline passes in the meantime get an
 * unknown outcome.
 */
export class BatchWrite {
  /** Whether an earlier attempt may have taken effect. */
  private mayHaveApplied = false;

  constructor(
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly writes: readonly ShardWrite[],
    private readonly backoff: Backoff,
    /** Called before each retry. */
    private readonly onRetry: () => void,
  ) {}

  async run(signal: AbortSignal): Promise<BatchWriteResult> {
    for (;;) {
      const result = await this.tryOnce();
      if (result) return result;
      if (signal.aborted) return {kind: 'uncertain'};
      this.rejectExpiredCallers();
      this.onRetry();
      const retryTime = this.clock.now() + this.backoff.next();
      await this.clock.sleepUntil(retryTime, signal);
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
      return this.mayHaveApplied ? await this.verify() : {kind: 'lost'};
    } catch (thrown) {
      const {kind} = toChicoryspringError(thrown);
      if (kind !== 'store-unavailable') this.mayHaveApplied = true;
      return this.mayHaveApplied ? undefined : {kind: 'unsent'};
    }
  }

  /**
   * Reads back whether an earlier attempt took effect. The transaction is
   * atomic, so a conclusive result for one shard holds for all of them.
   */
  private async verify(): Promise<BatchWriteResult> {
    for (const write of this.writes) {
      const {verification, revision} = await this.verifyWrite(write);
      if (verification === 'applied') return {kind: 'applied', revision};
      if (verification === 'not-applied') return {kind: 'lost'};
    }
    return {kind: 'uncertain'};
  }

  private async verifyWrite(
    write: ShardWrite,
  ): Promise<{readonly verification: Verification; readonly revision: number}> {
    const owner = ShardKeys.owner(write.owned.shard);
    const ownerValue = (await this.store.readPrefix(owner)).values[0];
    const journalValue = (await this.store.readPrefix(write.journalKey))
      .values[0];
    const revision = journalValue?.revision ?? 0;
    const entry = journalValue && JournalEntryCodec.decode(journalValue.value);
    // Another writer may have replaced the value that was to be found here.
    if (entry?.isReadable === false)
      return {verification: 'inconclusive', revision};
    const commitId = entry?.value.commitId;
    if (commitId === write.commitId) return {verification: 'applied', revision};
    // A new owner may have compacted the journal value into a snapshot.
    const isStillOwner = ownerValue?.revision === write.owned.ownerRevision;
    return {
      verification: isStillOwner ? 'not-applied' : 'inconclusive',
      revision,
    };
  }

  private rejectExpiredCallers(): void {
    const now = this.clock.now();
    const message = 'the store did not confirm the write before the deadline';
    for (const {changes} of this.writes) {
      for (const change of changes) {
        if (change.deadline > now) continue;
        change.rejectCaller(
          new ChicoryspringError('store-outcome-unknown', message),
        );
      }
    }
  }
}
