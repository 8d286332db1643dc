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

/** Most targets that one request is tried at. */
const MOST_ATTEMPTS = 3;
/** Latency as which a failure counts at least. */
const FAILURE_MILLISECONDS = 1_000;
/** Refusals of this entry itself, which another attempt would only repeat. */
const REFUSED_HERE: ReadonlySet<ErrorKind> = new Set([
  'overloaded',
  'deadline-passed',
]);

/** Sends requests to targets and tries another where that is safe. */
export class RequestDispatcher {
  private readonly budgets = new Map<string, RetryBudget>();

  constructor(
    private readonly admission: RequestAdmission,
    private readonly retryShare: (service: string) => number,
    private readonly clock: Clock,
  ) {}

  /** The whole answer of one target, or an error that says what is known. */
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
        const answered = outcomes.recordFailure(error);
        const mayTryAgain = this.mayTryAgain(request, error, tried);
        if (!mayTryAgain || !budget.trySpend()) throw answered;
      }
    }
  }

  /** Gives targets that have room now to the requests that wait. */
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
      throw new ChicoryspringError('deadline-passed', 'nobody waits any more');
    }
    const peer = await this.admission.admit(request, tried);
    tried.add(peer.announcement.worker);
    return requireOwn(await this.exchange(peer, request), request.id);
  }

  private async exchange(
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
      const least = isLate ? 0 : FAILURE_MILLISECONDS;
      peer.requestFailed(Math.max(least, failedAt - sentAt), failedAt);
      throw thrown;
    } finally {
      this.admission.dispatchWaiting();
    }
  }

  private mayTryAgain(
    request: ServiceRequest,
    error: ChicoryspringError,
    tried: ReadonlySet<string>,
  ): boolean {
    const {service} = request;
    if (REFUSED_HERE.has(error.kind)) return false;
    if (!this.admission.hasUntried(service, tried)) return false;
    if (tried.size >= MOST_ATTEMPTS) return false;
    if (this.clock.now() >= request.deadline) return false;
    if (error.answer.outcome === 'not-run') return error.answer.mayRepeat;
    return request.idempotent && error.answer.mayRepeat;
  }
}

/** Refuses an answer to another request. */
function requireOwn(answer: ServiceAnswer, requestId: string): ServiceAnswer {
  if (answer.requestId === requestId) return answer;
  const message = 'the answer belongs to another request';
  throw new ChicoryspringError('answer-incomplete', message);
}
