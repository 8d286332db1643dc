import {
  ChicoryspringError,
  type ClaimRecord,
  type Clock,
} from '@chicoryspring/contracts';
import type {ShardTable} from '@chicoryspring/shards';

/** Time for which a claim is kept, whether or not its outcome is recorded. */
const RETENTION_MILLISECONDS = 60 * 60 * 1_000;
/** Time after which the write of an outcome is abandoned. */
const RECORD_TIMEOUT_MILLISECONDS = 60_000;

/** The durable claims on non-idempotent requests. */
export class ClaimRecords {
  constructor(
    private readonly table: Pick<ShardTable, 'update'>,
    private readonly clock: Clock,
  ) {}

  /** Throws if an idempotency key was already used for another request. */
  static requireSameRequest(recorded: string, presented: string): void {
    if (recorded === presented) return;
    const message = 'the key was used for another request';
    throw new ChicoryspringError('idempotency-key-reused', message);
  }

  /**
   * Claims the key durably.
   *
   * Returns the existing claim if there is one whose request may have run.
   */
  async claim(
    claimKey: string,
    fingerprint: string,
    deadline: number,
  ): Promise<ClaimRecord | undefined> {
    let existing: ClaimRecord | undefined;
    const claimed: ClaimRecord = {
      kind: 'claim',
      key: claimKey,
      fingerprint,
      state: 'claimed',
      retentionDeadline: this.clock.now() + RETENTION_MILLISECONDS,
    };
    await this.table.update(
      claimKey,
      current => {
        if (current?.kind !== 'claim') return claimed;
        ClaimRecords.requireSameRequest(current.fingerprint, fingerprint);
        if (current.state === 'not-run') return claimed;
        existing = current;
        return current;
      },
      deadline,
    );
    return existing;
  }

  /** Records the outcome on the claim, independent of any caller's deadline. */
  async record(
    claimKey: string,
    outcome: Pick<ClaimRecord, 'state' | 'answer'>,
  ): Promise<void> {
    const now = this.clock.now();
    const retentionDeadline = now + RETENTION_MILLISECONDS;
    await this.table.update(
      claimKey,
      current =>
        current?.kind === 'claim'
          ? {...current, ...outcome, retentionDeadline}
          : current,
      now + RECORD_TIMEOUT_MILLISECONDS,
    );
  }
}
