import {
  AttemptOutcomes,
  ChicoryspringError,
  toChicoryspringError,
  type Clock,
  type ErrorKind,
  type ServiceAnswer,
  type ServiceRequest,
} from '@chicoryspring/contracts';
import {requestDispatchMethod} from '@chicoryspring/links';
import {RetryBudget} from '@chicoryspring/targets';
import type {AgentPeer} from '../agents/agent_peer.js';
import type {RequestAdmission} from './request_admission.js';

/** Maximum number of targets that one request is sent to. */
const MAX_ATTEMPTS = 3;
/**
 * Minimum latency recorded for a failed request, so that a target that fails
 * quickly is not preferred. A request that times out counts as long as it took.
 */
const MIN_FAILURE_LATENCY_MILLISECONDS = 1_000;
/** Rejections by this entry itself; a retry would have the same result. */
const REFUSED_LOCALLY: ReadonlySet<ErrorKind> = new Set([
  'overloaded',
  'deadline-passed',
]);

/** Dispatches requests to targets and retries at another where it is safe. */
export class RequestDispatcher {
  private readonly budgets = new Map<string, RetryBudget>();

  constructor(
    private readonly admission: RequestAdmission,
    /** Retries allowed for a service, as a share of its first attempts. */
    private readonly retryShare: (service: string) => number,
    private readonly clock: Clock,
  ) {}

  /**
   * Returns the complete answer of one target.
   *
   * Throws an error whose outcome says whether the request may have run.
   */
  async dispatch(request: ServiceRequest): Promise<ServiceAnswer> {
    const tried = new Set<string>();
    const budget = this.budgetOf(request.service);
    budget.recordFirstAttempt(this.retryShare(request.service));
    const outcomes = new AttemptOutcomes();
    for (;;) {
      try {
        return await this.attempt(request, tried);
      } catch (thrown) {
        const error = toChicoryspringError(thrown);
        const finalError = outcomes.recordFailure(error);
        const mayRetry = this.mayRetry(request, error, tried);
        if (!mayRetry || !budget.trySpend()) throw finalError;
      }
    }
  }

  /** Dispatches queued requests to targets with free capacity. */
  dispatchWaiting(): void {
    this.admission.dispatchWaiting();
  }

  private budgetOf(service: string): RetryBudget {
    const known = this.budgets.get(service);
    if (known) return known;
    const budget = new RetryBudget();
    this.budgets.set(service, budget);
    return budget;
  }

  private async attempt(
    request: ServiceRequest,
    tried: Set<string>,
  ): Promise<ServiceAnswer> {
    if (this.clock.now() >= request.deadline) {
      throw new ChicoryspringError(
        'deadline-passed',
        'the deadline passed before the request was sent',
      );
    }
    const peer = await this.admission.admit(request, tried);
    tried.add(peer.announcement.worker);
    return requireMatchingAnswer(
      await this.callTarget(peer, request),
      request.id,
    );
  }

  private async callTarget(
    peer: AgentPeer,
    request: ServiceRequest,
  ): Promise<ServiceAnswer> {
    const {id, deadline, service, idempotent, contentType, body} = request;
    const input = {
      requestId: id,
      service,
      idempotent,
      contentType,
      body,
      idempotencyKey: request.idempotencyKey ?? id,
      remainingMilliseconds: deadline - this.clock.now(),
    };
    const sentAt = this.clock.now();
    try {
      const result = await peer.link.call(
        requestDispatchMethod,
        input,
        deadline,
      );
      const answeredAt = this.clock.now();
      const latency = answeredAt - sentAt;
      peer.requestAnswered(result.requestsInFlight, latency, answeredAt);
      return result.answer;
    } catch (thrown) {
      const failedAt = this.clock.now();
      const isLate = toChicoryspringError(thrown).kind === 'outcome-unknown';
      const minLatency = isLate ? 0 : MIN_FAILURE_LATENCY_MILLISECONDS;
      peer.requestFailed(Math.max(minLatency, failedAt - sentAt), failedAt);
      throw thrown;
    } finally {
      this.admission.dispatchWaiting();
    }
  }

  private mayRetry(
    request: ServiceRequest,
    error: ChicoryspringError,
    tried: ReadonlySet<string>,
  ): boolean {
    const {service} = request;
    if (REFUSED_LOCALLY.has(error.kind)) return false;
    if (!this.admission.hasUntried(service, tried)) return false;
    if (tried.size >= MAX_ATTEMPTS) return false;
    if (this.clock.now() >= request.deadline) return false;
    if (error.answer.outcome === 'not-run') return error.answer.mayRepeat;
    return request.idempotent && error.answer.mayRepeat;
  }
}

/** Throws if the answer is to another request. */
function requireMatchingAnswer(
  answer: ServiceAnswer,
  requestId: string,
): ServiceAnswer {
  if (answer.requestId === requestId) return answer;
  const message = 'the answer belongs to another request';
  throw new ChicoryspringError('answer-incomplete', message);
}
