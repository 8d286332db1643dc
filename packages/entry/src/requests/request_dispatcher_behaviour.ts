import {
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
    for (;;) {
      const peer = this.choose(request.service, tried);
      tried.add(peer.announcement.worker);
      try {
        return requireOwn(await this.exchange(peer, request), request.id);
      } catch (thrown) {
        const error = toChicoryspringError(thrown);
        const isLast = tried.size >= MOST_ATTEMPTS;
        if (isLast || !this.mayTryAgain(request, error)) throw error;
      }
    }
  }

  private choose(service: string, tried: ReadonlySet<string>): AgentPeerStore {
    const targets = this.agents
      .targets(service, this.domainsOut(), this.clock.now())
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
    const sentAt = this.clock.now();
    peer.requestSent();
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
      peer.requestFailed();
      throw thrown;
    }
  }

  private mayTryAgain(
    request: ServiceRequest,
    error: ChicoryspringError,
  ): boolean {
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
