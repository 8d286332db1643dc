import {
  AttemptOutcomesStore,
  ChicoryspringError,
  toChicoryspringError,
  type Clock,
  type ServiceAnswer,
  type ServiceRequest,
} from '@chicoryspring/contracts';
import {requestDispatchMethod} from '@chicoryspring/links';
import type {RoutingPolicy} from '@chicoryspring/targets';
import type {AgentDirectoryStore} from '../agents/agent_directory_store.js';
import type {AgentPeerStore} from '../agents/agent_peer_store.js';

/** Most targets that one request is tried at. */
const MOST_ATTEMPTS = 3;

/** Sends requests to targets and tries another where that is safe. */
export class RequestDispatcher {
  constructor(
    private readonly agents: AgentDirectoryStore,
    private readonly policy: RoutingPolicy,
    private readonly clock: Clock,
    private readonly failureDomain: string,
    private readonly domainsOut: () => readonly string[],
  ) {}

  /** The whole answer of one target, or an error that says what is known. */
  async dispatch(request: ServiceRequest): Promise<ServiceAnswer> {
    const tried = new Set<string>();
    const outcomes = new AttemptOutcomesStore();
    for (;;) {
      try {
        return await this.attempt(request, tried);
      } catch (thrown) {
        const error = toChicoryspringError(thrown);
        const answered = outcomes.conclude(error);
        if (!this.mayTryAgain(request, error, tried)) throw answered;
      }
    }
  }

  private async attempt(
    request: ServiceRequest,
    tried: Set<string>,
  ): Promise<ServiceAnswer> {
    if (this.clock.now() >= request.deadline) {
      throw new ChicoryspringError('deadline-passed', 'nobody waits any more');
    }
    const peer = this.choose(request.service, tried);
    tried.add(peer.announcement.worker);
    return await this.exchange(peer, request);
  }

  private choose(service: string, tried: ReadonlySet<string>): AgentPeerStore {
    const targets = this.agents
      .targets(service, this.domainsOut())
      .filter(target => !tried.has(target.worker));
    const chosen = this.policy.choose(targets, this.failureDomain);
    const peer = chosen && this.agents.get(chosen.worker);
    if (peer) return peer;
    throw new ChicoryspringError('no-target', `no target of ${service}`);
  }

  private async exchange(
    peer: AgentPeerStore,
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
    peer.requestSent();
    let inFlight: number | undefined;
    try {
      const result = await peer.link.call(
        requestDispatchMethod,
        input,
        deadline,
      );
      inFlight = result.requestsInFlight;
      return requireOwn(result.answer, id);
    } finally {
      peer.requestEnded(inFlight);
    }
  }

  private mayTryAgain(
    request: ServiceRequest,
    error: ChicoryspringError,
    tried: ReadonlySet<string>,
  ): boolean {
    if (error.kind === 'no-target' && !this.hasUntried(request, tried)) {
      return false;
    }
    if (tried.size >= MOST_ATTEMPTS) return false;
    if (this.clock.now() >= request.deadline) return false;
    if (error.answer.outcome === 'not-run') return error.answer.mayRepeat;
    return request.idempotent && error.answer.mayRepeat;
  }

  private hasUntried(
    request: ServiceRequest,
    tried: ReadonlySet<string>,
  ): boolean {
    return this.agents
      .targets(request.service, this.domainsOut())
      .some(target => !tried.has(target.worker));
  }
}

/** Refuses an answer to another request. */
function requireOwn(answer: ServiceAnswer, requestId: string): ServiceAnswer {
  if (answer.requestId === requestId) return answer;
  const message = 'the answer belongs to another request';
  throw new ChicoryspringError('answer-incomplete', message);
}
