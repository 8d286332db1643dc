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
import {ClaimedExecution} from './claimed_execution.js';
import type {RequestDispatcher} from './request_dispatcher.js';

interface ClaimInProgress {
  readonly execution: ClaimedExecution;
  readonly answer: Promise<ServiceAnswer>;
}

interface SharedExecution {
  readonly fingerprint: string;
  readonly deadline: number;
  readonly answer: Promise<ServiceAnswer>;
}

/**
 * Executes requests with an idempotency key; a repeat joins the execution.
 *
 * A non-idempotent request is claimed durably before it is dispatched, and
 * its outcome is recorded on the claim. An idempotent request needs no claim;
 * its repeats share an execution only while it is in progress.
 */
export class RequestClaims {
  private readonly claimedExecutions = new Map<string, ClaimInProgress>();
  private readonly sharedExecutions = new Map<string, SharedExecution>();
  private readonly records: ClaimRecords;
  private isDraining = false;

  constructor(
    table: Pick<ShardTable, 'update'>,
    private readonly dispatcher: Pick<RequestDispatcher, 'dispatch'>,
    private readonly clock: Clock,
  ) {
    this.records = new ClaimRecords(table, clock);
  }

  /** Executes the request, or joins or replays its execution. */
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
   * Accepts no new claims, and resolves once every outcome is recorded or
   * recording has failed.
   *
   * After the handover of the shards, the next owner could not tell whether
   * the request of a new claim was dispatched.
   */
  async drain(): Promise<void> {
    this.isDraining = true;
    for (const {execution, answer} of [...this.claimedExecutions.values()]) {
      // The callers of the execution receive its error.
      await answer.catch(() => undefined);
      await execution.whenRecorded();
    }
  }

  private async serveOnce(
    claimKey: string,
    fingerprint: string,
    request: ServiceRequest,
  ): Promise<ServiceAnswer> {
    const existing = this.claimedExecutions.get(claimKey);
    if (existing)
      ClaimRecords.requireSameRequest(
        existing.execution.fingerprint,
        fingerprint,
      );
    if (!existing) this.requireNotDraining();
    const {execution, answer} =
      existing ?? this.startClaimed(claimKey, fingerprint, request);
    return await execution.join(answer, request.deadline);
  }

  private requireNotDraining(): void {
    if (!this.isDraining) return;
    const message = 'this entry is handing over its shards';
    throw new ChicoryspringError('shard-unowned', message);
  }

  private startClaimed(
    claimKey: string,
    fingerprint: string,
    request: ServiceRequest,
  ): ClaimInProgress {
    const {records, dispatcher, clock} = this;
    const execution = new ClaimedExecution(
      claimKey,
      fingerprint,
      records,
      dispatcher,
      clock,
    );
    const started = {execution, answer: execution.execute(request)};
    this.claimedExecutions.set(claimKey, started);
    // The callers that join the execution receive its error.
    void started.answer
      .catch(() => undefined)
      .then(() => execution.whenRecorded())
      .then(() => this.claimedExecutions.delete(claimKey));
    return started;
  }

  /**
   * Joins the execution in progress, or starts one.
   *
   * When an execution with an earlier deadline fails, a caller that waits
   * longer tries again.
   */
  private async serveShared(
    claimKey: string,
    fingerprint: string,
    request: ServiceRequest,
  ): Promise<ServiceAnswer> {
    const outcomes = new AttemptOutcomes();
    for (;;) {
      const existing = this.sharedExecutions.get(claimKey);
      if (existing)
        ClaimRecords.requireSameRequest(existing.fingerprint, fingerprint);
      const joined =
        existing ?? this.startShared(claimKey, fingerprint, request);
      try {
        return await this.waitForAnswer(joined.answer, request.deadline);
      } catch (thrown) {
        const finalError = outcomes.recordFailure(toChicoryspringError(thrown));
        const isOwn = joined !== existing;
        const isLonger = request.deadline > joined.deadline;
        const mayRetry = isLonger && this.clock.now() < request.deadline;
        if (isOwn || !mayRetry) throw finalError;
      }
    }
  }

  private startShared(
    claimKey: string,
    fingerprint: string,
    request: ServiceRequest,
  ): SharedExecution {
    const {deadline} = request;
    const answer = this.dispatcher.dispatch(request);
    const execution = {fingerprint, deadline, answer};
    this.sharedExecutions.set(claimKey, execution);
    const remove = () => this.sharedExecutions.delete(claimKey);
    void answer.then(remove, remove);
    return execution;
  }

  private async waitForAnswer(
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
