import {
  ChicoryspringError,
  toChicoryspringError,
  type ClaimRecord,
  type Clock,
  type ServiceAnswer,
  type ServiceRequest,
} from '@chicoryspring/contracts';
import type {ShardTable} from '@chicoryspring/shards';
import type {RequestDispatcher} from './request_dispatcher_behaviour.js';

/** Time for which the outcome of a claimed request is kept. */
const RETENTION_MILLISECONDS = 60 * 60 * 1_000;

interface Joined {
  readonly fingerprint: string;
  readonly answer: Promise<ServiceAnswer>;
}

/**
 * Runs requests that carry an idempotency key.
 *
 * A repeat joins the request in progress. A non-idempotent request is claimed
 * durably before it is dispatched, and its outcome is recorded on the claim.
 */
export class RequestClaims {
  private readonly inProgress = new Map<string, Joined>();

  constructor(
    private readonly table: ShardTable,
    private readonly dispatcher: RequestDispatcher,
    private readonly clock: Clock,
  ) {}

  /** The answer of the one run that the key names. */
  async serve(
    claimKey: string,
    fingerprint: string,
    request: ServiceRequest,
  ): Promise<ServiceAnswer> {
    const joined = this.inProgress.get(claimKey);
    if (joined) {
      requireSame(joined.fingerprint, fingerprint);
      return await joined.answer;
    }
    const answer = this.runOnce(claimKey, fingerprint, request);
    this.inProgress.set(claimKey, {fingerprint, answer});
    try {
      return await answer;
    } finally {
      this.inProgress.delete(claimKey);
    }
  }

  private async runOnce(
    claimKey: string,
    fingerprint: string,
    request: ServiceRequest,
  ): Promise<ServiceAnswer> {
    if (request.idempotent) return await this.dispatcher.dispatch(request);
    const earlier = await this.claim(claimKey, fingerprint, request.deadline);
    if (earlier) return replay(earlier);
    try {
      const answer = await this.dispatcher.dispatch(request);
      await this.record(claimKey, {state: 'answered', answer}, request);
      return answer;
    } catch (thrown) {
      const {outcome} = toChicoryspringError(thrown).answer;
      const state = outcome === 'not-run' ? 'not-run' : 'unknown';
      await this.record(claimKey, {state}, request).catch(() => undefined);
      throw thrown;
    }
  }

  /** Claims the key; returns the earlier claim when there is one. */
  private async claim(
    claimKey: string,
    fingerprint: string,
    deadline: number,
  ): Promise<ClaimRecord | undefined> {
    let earlier: ClaimRecord | undefined;
    const claimed: ClaimRecord = {
      kind: 'claim',
      key: claimKey,
      fingerprint,
      state: 'claimed',
    };
    await this.table.update(
      claimKey,
      current => {
        if (current?.kind !== 'claim') return claimed;
        requireSame(current.fingerprint, fingerprint);
        if (current.state === 'not-run') return claimed;
        earlier = current;
        return current;
      },
      deadline,
    );
    return earlier;
  }

  private async record(
    claimKey: string,
    outcome: Pick<ClaimRecord, 'state' | 'answer'>,
    request: ServiceRequest,
  ): Promise<void> {
    const retentionDeadline = this.clock.now() + RETENTION_MILLISECONDS;
    await this.table.update(
      claimKey,
      current =>
        current?.kind === 'claim'
          ? {...current, ...outcome, retentionDeadline}
          : current,
      request.deadline,
    );
  }
}

function requireSame(known: string, shown: string): void {
  if (known === shown) return;
  const message = 'the key was used for another request';
  throw new ChicoryspringError('idempotency-key-reused', message);
}

/** The recorded outcome; a claim without one may have run. */
function replay(claim: ClaimRecord): ServiceAnswer {
  if (claim.answer) return claim.answer;
  const message = 'the request was dispatched and its outcome is not known';
  throw new ChicoryspringError('outcome-unknown', message);
}
