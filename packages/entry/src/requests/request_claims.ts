import {
  AttemptOutcomes,
  ChicoryspringError,
  withDeadline,
  toChicoryspringError,
  type Clock,
  type ServiceAnswer,
  type ServiceRequest,
} from '@chicoryspring/contracts';
import type {ShardTable} from '@chicoryspring/shards';
import {ClaimRecords} from './claim_records.js';
import {ClaimedRun} from './claimed_run.js';
import type {RequestDispatcher} from './request_dispatcher.js';

interface ClaimInProgress {
  readonly run: ClaimedRun;
  readonly answer: Promise<ServiceAnswer>;
}

interface SharedRun {
  readonly fingerprint: string;
  readonly deadline: number;
  readonly answer: Promise<ServiceAnswer>;
}

/**
 * Runs requests that carry an idempotency key; a repeat joins the run.
 *
 * A non-idempotent request is claimed durably before it is dispatched, and
 * its outcome is recorded on the claim.
 */
export class RequestClaims {
  private readonly claimed = new Map<string, ClaimInProgress>();
  private readonly shared = new Map<string, SharedRun>();
  private readonly records: ClaimRecords;
  private isHandingOver = false;

  constructor(
    table: Pick<ShardTable, 'update'>,
    private readonly dispatcher: Pick<RequestDispatcher, 'dispatch'>,
    private readonly clock: Clock,
  ) {
    this.records = new ClaimRecords(table, clock);
  }

  /** The answer of the run that the key names. */
  async serve(
    claimKey: string,
    fingerprint: string,
    request: ServiceRequest,
  ): Promise<ServiceAnswer> {
    return request.idempotent
      ? await this.serveShared(claimKey, fingerprint, request)
      : await this.serveOnce(claimKey, fingerprint, request);
  }

  /**
   * Takes no new claim, since the next owner could not know that it was not
   * dispatched. Resolves once every outcome is recorded, or can't be.
   */
  async drain(): Promise<void> {
    this.isHandingOver = true;
    for (const {run, answer} of [...this.claimed.values()]) {
      await answer.catch(() => undefined);
      await run.whenRecorded();
    }
  }

  private async serveOnce(
    claimKey: string,
    fingerprint: string,
    request: ServiceRequest,
  ): Promise<ServiceAnswer> {
    const known = this.claimed.get(claimKey);
    if (known) ClaimRecords.requireSame(known.run.fingerprint, fingerprint);
    if (!known) this.requireOwner();
    const {run, answer} = known ?? this.begin(claimKey, fingerprint, request);
    return await run.join(answer, request.deadline);
  }

  private requireOwner(): void {
    if (!this.isHandingOver) return;
    const message = 'this entry hands its shards over';
    throw new ChicoryspringError('shard-unowned', message);
  }

  private begin(
    claimKey: string,
    fingerprint: string,
    request: ServiceRequest,
  ): ClaimInProgress {
    const {records, dispatcher, clock} = this;
    const run = new ClaimedRun(
      claimKey,
      fingerprint,
      records,
      dispatcher,
      clock,
    );
    const begun = {run, answer: run.run(request)};
    this.claimed.set(claimKey, begun);
    void begun.answer
      .catch(() => undefined)
      .then(() => run.whenRecorded())
      .then(() => this.claimed.delete(claimKey));
    return begun;
  }

  /** Joins a run in progress, or runs when there is none that helps. */
  private async serveShared(
    claimKey: string,
    fingerprint: string,
    request: ServiceRequest,
  ): Promise<ServiceAnswer> {
    const outcomes = new AttemptOutcomes();
    for (;;) {
      const known = this.shared.get(claimKey);
      if (known) ClaimRecords.requireSame(known.fingerprint, fingerprint);
      const joined = known ?? this.share(claimKey, fingerprint, request);
      try {
        return await this.waitFor(joined.answer, request.deadline);
      } catch (thrown) {
        const answered = outcomes.recordFailure(toChicoryspringError(thrown));
        const isOwn = joined !== known;
        const isLongest = request.deadline > joined.deadline;
        const waits = isLongest && this.clock.now() < request.deadline;
        if (isOwn || !waits) throw answered;
      }
    }
  }

  private share(
    claimKey: string,
    fingerprint: string,
    request: ServiceRequest,
  ): SharedRun {
    const {deadline} = request;
    const answer = this.dispatcher.dispatch(request);
    const run = {fingerprint, deadline, answer};
    this.shared.set(claimKey, run);
    const forget = () => this.shared.delete(claimKey);
    void answer.then(forget, forget);
    return run;
  }

  private async waitFor(
    answer: Promise<ServiceAnswer>,
    deadline: number,
  ): Promise<ServiceAnswer> {
    return await withDeadline(
      this.clock,
      deadline,
      answer,
      () => new ChicoryspringError('outcome-unknown', 'no answer in time'),
    );
  }
}
